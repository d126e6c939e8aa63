package org.fuchsialever.node.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.ManualTimeSource;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/** Runs delayed tasks when a manual clock reaches their time. */
public final class ManualScheduler implements Scheduler {
    private final ManualTimeSource mTime;
    private final List<Task> mTasks = new ArrayList<>();

    /** Creates a scheduler without tasks. */
    public ManualScheduler(ManualTimeSource time) {
        mTime = time;
    }

    /** Advances the clock; runs each task at its time. */
    public void advance(Duration delta) {
        long end = mTime.nanoTime() + delta.toNanos();
        Task next = nextUntil(end);
        while (next != null) {
            mTasks.remove(next);
            mTime.advanceNanos(next.atNanos - mTime.nanoTime());
            next.action.run();
            next = nextUntil(end);
        }
        mTime.advanceNanos(end - mTime.nanoTime());
    }

    @Override
    public Disposable schedule(Runnable action) {
        action.run();
        return Disposables.disposed();
    }

    @Override
    public Disposable schedule(Runnable action, long delay, TimeUnit unit) {
        Task task = new Task(action, mTime.nanoTime() + unit.toNanos(delay));
        mTasks.add(task);
        return () -> mTasks.remove(task);
    }

    @Override
    public Worker createWorker() {
        throw new UnsupportedOperationException("attempts schedule without workers");
    }

    private @org.jspecify.annotations.Nullable Task nextUntil(long end) {
        return mTasks.stream()
                .filter(task -> task.atNanos <= end)
                .min(Comparator.comparingLong(Task::atNanos))
                .orElse(null);
    }

    private record Task(Runnable action, long atNanos) {}
}

package org.fuchsialever.node.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchState;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/** Callers that wait for the next result of a submission. */
final class BatchWaiters {
    private final Scheduler mTimers;
    private final Map<String, List<Waiter>> mWaiting = new HashMap<>();

    /** Creates an empty set of waiters, whose timeouts run on the given scheduler. */
    BatchWaiters(Scheduler timers) {
        mTimers = timers;
    }

    /** Completes when the position has a result, the submission ends or the timeout elapses. */
    Mono<Void> await(String id, int position, Duration timeout) {
        return Mono.<Void>create(
                        sink -> {
                            Waiter waiter = new Waiter(position, sink);
                            synchronized (mWaiting) {
                                mWaiting.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
                            }
                            sink.onDispose(() -> remove(id, waiter));
                        })
                .timeout(timeout, Mono.empty(), mTimers);
    }

    /** Completes the waits that the changed states satisfy. */
    void onStatesChanged(List<VersionedState> states) {
        List<Waiter> due = new ArrayList<>();
        synchronized (mWaiting) {
            for (VersionedState row : states) {
                collect(row.state(), due);
            }
        }
        due.forEach(waiter -> waiter.sink.success());
    }

    private void collect(BatchState state, List<Waiter> due) {
        List<Waiter> list = mWaiting.getOrDefault(state.id(), List.of());
        for (Iterator<Waiter> all = list.iterator(); all.hasNext(); ) {
            Waiter waiter = all.next();
            if (state.resultCount() > waiter.position || state.ended()) {
                due.add(waiter);
                all.remove();
            }
        }
    }

    private void remove(String id, Waiter waiter) {
        synchronized (mWaiting) {
            List<Waiter> list = mWaiting.get(id);
            if (list != null) {
                list.remove(waiter);
                if (list.isEmpty()) {
                    mWaiting.remove(id);
                }
            }
        }
    }

    private record Waiter(int position, MonoSink<Void> sink) {}
}

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
    private final Scheduler timers;
    private final Map<String, List<Waiter>> waiting = new HashMap<>();

    /** Creates an empty list; the scheduler ends waits whose time is over. */
    BatchWaiters(Scheduler timers) {
        this.timers = timers;
    }

    /** Completes when a result has the position, the submission ends or the time is over. */
    Mono<Void> await(String id, int position, Duration longest) {
        return Mono.<Void>create(
                        sink -> {
                            Waiter waiter = new Waiter(position, sink);
                            synchronized (waiting) {
                                waiting.computeIfAbsent(id, key -> new ArrayList<>()).add(waiter);
                            }
                            sink.onDispose(() -> remove(id, waiter));
                        })
                .timeout(longest, Mono.empty(), timers);
    }

    /** Completes the waits that a changed head ends. */
    void changed(List<VersionedState> heads) {
        List<Waiter> due = new ArrayList<>();
        synchronized (waiting) {
            for (VersionedState row : heads) {
                collect(row.state(), due);
            }
        }
        due.forEach(waiter -> waiter.sink.success());
    }

    private void collect(BatchState head, List<Waiter> due) {
        List<Waiter> list = waiting.getOrDefault(head.id(), List.of());
        for (Iterator<Waiter> all = list.iterator(); all.hasNext(); ) {
            Waiter waiter = all.next();
            if (head.resultCount() > waiter.position || head.ended()) {
                due.add(waiter);
                all.remove();
            }
        }
    }

    private void remove(String id, Waiter waiter) {
        synchronized (waiting) {
            List<Waiter> list = waiting.get(id);
            if (list != null) {
                list.remove(waiter);
                if (list.isEmpty()) {
                    waiting.remove(id);
                }
            }
        }
    }

    private record Waiter(int position, MonoSink<Void> sink) {}
}

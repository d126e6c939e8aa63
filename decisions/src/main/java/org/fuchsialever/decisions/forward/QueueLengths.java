package org.fuchsialever.decisions.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.duty.ActionSink;

/** Reports the lengths of the queues of services, at intervals and only when they change. */
final class QueueLengths {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Integer> mReported = new HashMap<>();
    private long mNext = Long.MIN_VALUE;

    /** Emits the lengths that have changed since the last report if it is time for one. */
    void report(CallQueue queue, long now, ActionSink<ForwardAction> actions) {
        if (now < mNext) {
            return;
        }
        mNext = now + INTERVAL_NANOS;
        for (String service : queue.fairServices()) {
            int length = queue.length(service);
            Integer reported = mReported.put(service, length);
            if (length != (reported == null ? 0 : reported)) {
                actions.emit(new ForwardAction.QueueLength(service, length));
            }
        }
    }
}

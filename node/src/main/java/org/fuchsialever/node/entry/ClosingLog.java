package org.fuchsialever.node.entry;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.callers.ClosingReason;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.trace.TraceLog;

/** Counts connections that the instance closes; logs one line per reason and second at most. */
final class ClosingLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTime;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final Map<ClosingReason, Long> mCounts = new EnumMap<>(ClosingReason.class);
    private final Map<ClosingReason, Long> mLogged = new EnumMap<>(ClosingReason.class);

    ClosingLog(TimeSource time, TraceLog trace, MeterRegistry meters) {
        mTime = time;
        mTrace = trace;
        mMeters = meters;
    }

    /** Notes a connection that is closed. */
    synchronized void closed(ClosingReason reason) {
        mMeters.counter("fuchsialever.callers.closed", "reason", reason.name()).increment();
        long count = mCounts.merge(reason, 1L, Long::sum);
        long now = mTime.nanoTime();
        Long logged = mLogged.get(reason);
        if (logged != null && now - logged < INTERVAL_NANOS) {
            return;
        }
        mLogged.put(reason, now);
        mCounts.put(reason, 0L);
        mTrace.line("entry", "connections-closed")
                .with("reason", reason.name())
                .with("count", count)
                .write();
    }
}

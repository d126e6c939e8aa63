package org.fuchsialever.node.callers;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import org.fuchsialever.decisions.callers.ClosingReason;
import org.fuchsialever.kernel.time.TimeSource;

/** Counts connections that the instance closes; logs one line per reason and second at most. */
public final class ClosingLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTime;
    private final MeterRegistry mMeters;
    private final ObjLongConsumer<ClosingReason> mLines;
    private final Map<ClosingReason, Long> mCounts = new EnumMap<>(ClosingReason.class);
    private final Map<ClosingReason, Long> mLogged = new EnumMap<>(ClosingReason.class);

    /**
     * Creates a log.
     *
     * @param lines writes a line with a reason and the number of connections since the last one
     */
    public ClosingLog(TimeSource time, MeterRegistry meters, ObjLongConsumer<ClosingReason> lines) {
        mTime = time;
        mMeters = meters;
        mLines = lines;
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
        mLines.accept(reason, count);
    }
}

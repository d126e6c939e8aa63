package org.fuchsialever.node.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.fuchsialever.decisions.audit.AuditEvent;
import org.fuchsialever.decisions.audit.AuditRecord;
import org.fuchsialever.kernel.time.TimeSource;

/** Offers records to a ring; the number of records dropped at a full ring is itself recorded. */
final class RingRecorder implements AuditRecorder {
    private final TimeSource mTime;
    private final Counter mLost;
    private final Predicate<AuditEvent> mRing;
    private final AtomicLong mUnrecordedLosses = new AtomicLong();

    RingRecorder(TimeSource time, MeterRegistry meters, Predicate<AuditEvent> ring) {
        mTime = time;
        mLost = meters.counter("fuchsialever.audit.lost", "reason", "ring-full");
        mRing = ring;
    }

    @Override
    public boolean record(AuditRecord record) {
        long now = mTime.wallMillis();
        long dropped = mUnrecordedLosses.getAndSet(0);
        boolean lossRecorded =
                dropped == 0
                        || mRing.test(
                                new AuditEvent.Recorded(now, new AuditRecord.RecordsLost(dropped)));
        boolean accepted = lossRecorded && mRing.test(new AuditEvent.Recorded(now, record));
        mUnrecordedLosses.addAndGet((lossRecorded ? 0 : dropped) + (accepted ? 0 : 1));
        if (!accepted) {
            mLost.increment();
        }
        return accepted;
    }
}

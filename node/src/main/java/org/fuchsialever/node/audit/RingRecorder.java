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
    private final TimeSource time;
    private final Counter lost;
    private final Predicate<AuditEvent> ring;
    private final AtomicLong unrecordedLosses = new AtomicLong();

    RingRecorder(TimeSource time, MeterRegistry meters, Predicate<AuditEvent> ring) {
        this.time = time;
        this.lost = meters.counter("fuchsialever.audit.lost", "reason", "ring-full");
        this.ring = ring;
    }

    @Override
    public boolean record(AuditRecord record) {
        long now = time.wallMillis();
        long dropped = unrecordedLosses.getAndSet(0);
        boolean lossRecorded =
                dropped == 0
                        || ring.test(
                                new AuditEvent.Recorded(now, new AuditRecord.RecordsLost(dropped)));
        boolean accepted = lossRecorded && ring.test(new AuditEvent.Recorded(now, record));
        unrecordedLosses.addAndGet((lossRecorded ? 0 : dropped) + (accepted ? 0 : 1));
        if (!accepted) {
            lost.increment();
        }
        return accepted;
    }
}

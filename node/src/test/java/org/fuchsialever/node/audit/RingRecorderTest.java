package org.fuchsialever.node.audit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.audit.AuditEvent;
import org.fuchsialever.decisions.audit.AuditRecord;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against records that are dropped at a full ring and not counted in the audit log. */
class RingRecorderTest {
    private final List<AuditEvent> ring = new ArrayList<>();
    private boolean full;
    private final RingRecorder recorder =
            new RingRecorder(
                    new ManualTimeSource(5),
                    new SimpleMeterRegistry(),
                    event -> !full && ring.add(event));

    @Test
    void recordsHowManyRecordsFoundTheRingFull() {
        full = true;
        assertThat(recorder.record(new AuditRecord.ConfigurationChanged(1)), is(false));
        assertThat(recorder.record(new AuditRecord.ConfigurationChanged(2)), is(false));
        full = false;
        assertThat(recorder.record(new AuditRecord.ConfigurationChanged(3)), is(true));
        assertThat(
                ring,
                contains(
                        new AuditEvent.Recorded(5, new AuditRecord.RecordsLost(2)),
                        new AuditEvent.Recorded(5, new AuditRecord.ConfigurationChanged(3))));
    }
}

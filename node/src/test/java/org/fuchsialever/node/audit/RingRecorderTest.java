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
    private final List<AuditEvent> mRing = new ArrayList<>();
    private boolean mFull;
    private final RingRecorder mRecorder =
            new RingRecorder(
                    new ManualTimeSource(5),
                    new SimpleMeterRegistry(),
                    event -> !mFull && mRing.add(event));

    @Test
    void recordsHowManyRecordsFoundTheRingFull() {
        mFull = true;
        assertThat(mRecorder.record(new AuditRecord.ConfigurationChanged(1)), is(false));
        assertThat(mRecorder.record(new AuditRecord.ConfigurationChanged(2)), is(false));
        mFull = false;
        assertThat(mRecorder.record(new AuditRecord.ConfigurationChanged(3)), is(true));
        assertThat(
                mRing,
                contains(
                        new AuditEvent.Recorded(5, new AuditRecord.RecordsLost(2)),
                        new AuditEvent.Recorded(5, new AuditRecord.ConfigurationChanged(3))));
    }
}

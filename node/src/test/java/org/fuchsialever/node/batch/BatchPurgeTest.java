package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchState;
import org.junit.jupiter.api.Test;

class BatchPurgeTest {
    private static final BatchContent CONTENT = new BatchContent("m", 1, 0, 0);
    private static final long RETENTION = 120_000;

    @Test
    void keepsResultsUntilTheirTimeIsOver() {
        List<VersionedState> states = List.of(state(2));
        assertThat(BatchPurge.findExpired(states, 150_000, RETENTION).isEmpty(), is(true));
        assertThat(BatchPurge.findExpired(states, 150_001, RETENTION).isDefined(), is(true));
    }

    @Test
    void keepsASubmissionThatIsStillOpen() {
        assertThat(
                BatchPurge.findExpired(List.of(state(1)), 999_999, RETENTION).isEmpty(), is(true));
    }

    private static VersionedState state(int listed) {
        return new VersionedState(
                new BatchState("b", "t", "h", "/p/", 2, listed, 0, "i", "s", 1, false, CONTENT), 7);
    }
}

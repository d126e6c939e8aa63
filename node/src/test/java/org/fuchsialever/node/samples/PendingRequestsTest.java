package org.fuchsialever.node.samples;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutRefusal;
import org.fuchsialever.frontend.Refusal;
import org.junit.jupiter.api.Test;

/** Guards against refusals that say "not run" although a commit may have taken effect. */
class PendingRequestsTest {
    private final PendingRequests mPending = new PendingRequests();
    private final List<Either<Refusal, RolloutAction>> mResults = new ArrayList<>();

    @Test
    void leavesTheOutcomeOpenWhenTheLeaseIsLost() {
        send(true);

        mPending.refuse(1, RolloutRefusal.NOT_HOLDER);

        assertThat(mResults.get(0).getLeft().reason().outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void saysNotRunWhenTheRingIsFull() {
        send(false);

        assertThat(mResults.get(0).getLeft().reason(), is(RefusalReason.QUEUE_FULL));
        assertThat(mResults.get(0).getLeft().reason().outcome(), is(Outcome.NOT_RUN));
    }

    private void send(boolean offered) {
        mPending.send(request -> offered, Duration.ofMinutes(1)).subscribe(mResults::add);
    }
}

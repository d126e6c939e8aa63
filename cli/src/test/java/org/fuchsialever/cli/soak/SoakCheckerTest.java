package org.fuchsialever.cli.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantViolationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Guards against a soak whose checker sees nothing: each rule is broken once on purpose. */
class SoakCheckerTest {
    private static final KeyId KEY = new KeyId("k1");
    private static final UpstreamId UPSTREAM = new UpstreamId("u1");

    private final SoakChecker mChecker = new SoakChecker();

    @Test
    void seesASecondRunOfANonRepeatableRequest() {
        SoakCall call = plainCall();
        mChecker.ran(call);
        assertViolated(Invariant.AT_MOST_ONCE, () -> mChecker.ran(call));
    }

    @Test
    void seesThatARequestRanBeforeItWasRefusedAsNotRun() {
        SoakCall call = plainCall();
        mChecker.ran(call);
        assertViolated(
                Invariant.NOT_RUN_IS_TRUE,
                () -> mChecker.answered(call, Outcome.NOT_RUN, "queue-full"));
    }

    @Test
    void seesThatARequestRunsAfterItWasRefusedAsNotRun() {
        SoakCall call = plainCall();
        mChecker.answered(call, Outcome.NOT_RUN, "queue-full");
        assertViolated(Invariant.NOT_RUN_IS_TRUE, () -> mChecker.ran(call));
    }

    @Test
    void seesARequestStartedTooLateAfterTheWithdrawalOfItsKey() {
        mChecker.withdrawn(KEY, 0);
        mChecker.started(plainCall(), UPSTREAM, 5 * SoakTimeline.SECOND, 0);
        assertViolated(
                Invariant.WITHDRAWN_KEY_STOPS,
                () -> mChecker.started(plainCall(), UPSTREAM, 5 * SoakTimeline.SECOND + 1, 0));
    }

    @Test
    void seesNewWorkForAnUpstreamThatLeaves() {
        mChecker.leaving(UPSTREAM, 0);
        mChecker.started(plainCall(), UPSTREAM, 2 * SoakTimeline.SECOND, 0);
        assertViolated(
                Invariant.LEAVING_UPSTREAM_IDLE,
                () -> mChecker.started(plainCall(), UPSTREAM, 2 * SoakTimeline.SECOND + 1, 0));
    }

    @Test
    void seesAMissingTokenARepeatedTokenAndAnEarlyEnd() {
        SoakCall call = new SoakCall(new RequestId("r1"), KEY, false, 3);
        mChecker.ran(call);
        mChecker.token(call, 0);
        assertViolated(Invariant.ANSWER_WHOLE_AND_OWN, () -> mChecker.token(call, 0));
        assertViolated(Invariant.ANSWER_WHOLE_AND_OWN, () -> mChecker.token(call, 2));
        assertViolated(
                Invariant.ANSWER_WHOLE_AND_OWN,
                () -> mChecker.answered(call, Outcome.COMPLETED, "completed"));
    }

    @Test
    void seesAConfigurationThatGoesBack() {
        mChecker.inForce("i1", 2);
        assertViolated(Invariant.CONFIGURATION_MONOTONIC, () -> mChecker.inForce("i1", 1));
    }

    private static SoakCall plainCall() {
        return new SoakCall(new RequestId("r1"), KEY, true, 1);
    }

    private static void assertViolated(Invariant invariant, Executable action) {
        InvariantViolationException violation =
                assertThrows(InvariantViolationException.class, action);
        assertThat(violation.invariant(), is(invariant));
    }
}

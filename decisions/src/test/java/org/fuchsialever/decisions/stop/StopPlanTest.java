package org.fuchsialever.decisions.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.stop.StopStep.Pending;
import org.junit.jupiter.api.Test;

class StopPlanTest {
    private static final Duration LINGER = Duration.ofMillis(2_600);
    private static final Duration GRACE = Duration.ofSeconds(8);

    /** Close to the largest value, because monotonic clocks may begin anywhere. */
    private static final long SIGNALLED = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(5);

    private static final Pending NOTHING = new Pending(0, true);
    private static final Pending ONE_CALL = new Pending(1, true);
    private static final Pending HANDOVER = new Pending(0, false);

    private final StopPlan mPlan = StopPlan.of(SIGNALLED, LINGER, GRACE);

    /** Guards against calls that are taken late in the grace and cut at its end. */
    @Test
    void takesACallOnlyIfItsTimeFitsIntoTheRestOfTheGrace() {
        assertThat(mPlan.fits(after(0), 7_000), is(true));
        assertThat(mPlan.fits(after(0), 7_001), is(false));
        assertThat(mPlan.fits(after(4_000), 3_000), is(true));
        assertThat(mPlan.fits(after(4_001), 3_000), is(false));
        assertThat(mPlan.fits(after(7_000), 1), is(false));
        assertThat(mPlan.fits(after(9_000), 0), is(false));
    }

    @Test
    void takesNoCallWhoseTimeIsTooLargeForNanoseconds() {
        assertThat(mPlan.fits(after(0), Long.MAX_VALUE), is(false));
    }

    @Test
    void waitsForRunningCallsIntoTheLastSixthOfAnyGraceAndEndsBeforeItIsOver() {
        for (int seconds = 1; seconds <= 120; seconds++) {
            long grace = TimeUnit.SECONDS.toNanos(seconds);
            StopPlan plan = StopPlan.of(SIGNALLED, LINGER, Duration.ofSeconds(seconds));
            long last = plan.lastAnswerNanos() - SIGNALLED;
            assertThat(last, greaterThan(grace * 5 / 6));
            assertThat(last, lessThan(grace));
            assertThat(plan.lingerEndNanos() - SIGNALLED, lessThanOrEqualTo(last));
        }
    }

    @Test
    void servesOnWithoutCallsUntilTheLoadBalancerHasNoticed() {
        assertThat(StopStep.SERVING.next(mPlan, after(2_599), NOTHING), is(StopStep.SERVING));
        assertThat(StopStep.SERVING.next(mPlan, after(2_600), NOTHING), is(StopStep.CLOSING));
    }

    @Test
    void servesOnWhileCallsRunOrSubmissionsAreHandedOver() {
        assertThat(StopStep.SERVING.next(mPlan, after(6_999), ONE_CALL), is(StopStep.SERVING));
        assertThat(StopStep.SERVING.next(mPlan, after(6_999), HANDOVER), is(StopStep.SERVING));
    }

    @Test
    void endsWhateverRunsBeforeTheProcessIsKilled() {
        assertThat(StopStep.SERVING.next(mPlan, after(7_000), ONE_CALL), is(StopStep.ENDING));
        assertThat(StopStep.SERVING.next(mPlan, after(7_000), HANDOVER), is(StopStep.ENDING));
        assertThat(StopStep.CLOSING.next(mPlan, after(7_000), ONE_CALL), is(StopStep.ENDING));
    }

    /** Guards against a call that arrives at the moment at which its instance closes. */
    @Test
    void waitsForACallThatCameJustBeforeTheInstanceClosed() {
        assertThat(StopStep.CLOSING.next(mPlan, after(2_700), ONE_CALL), is(StopStep.CLOSING));
        assertThat(StopStep.CLOSING.next(mPlan, after(2_700), NOTHING), is(StopStep.ENDING));
    }

    @Test
    void neverGoesBackToAnEarlierStep() {
        assertThat(StopStep.CLOSING.next(mPlan, after(0), HANDOVER), is(StopStep.ENDING));
        assertThat(StopStep.ENDING.next(mPlan, after(0), ONE_CALL), is(StopStep.ENDING));
    }

    private static long after(long millis) {
        return SIGNALLED + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}

package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.duty.Duty;
import org.junit.jupiter.api.Test;

class ForwardDutyTest extends ForwardDutyFixture {
    @Test
    void retriesASafeCallAtAnotherUpstreamWhenTheAnswerIsLost() {
        fleet(plain("a"), plain("b"));
        arrive(live(1, true, 2));
        String first = lastStart().upstream().id();
        end(1, 1, AttemptOutcome.LOST);
        assertThat(lastStart().upstream().id(), is(not(first)));
        assertThat(lastStart().reason(), is(ForwardAction.StartReason.RETRY));
    }

    @Test
    void doesNotRepeatAnUnsafeCallThatMayHaveRun() {
        fleet(plain("a"), plain("b"));
        arrive(live(1, false, 3));
        end(1, 1, AttemptOutcome.LOST);
        assertThat(starts(), hasSize(1));
        assertThat(lastRefusal(), is(ForwardRefusal.ANSWER_LOST));
        assertThat(lastRefusal().isNotRun(), is(false));
    }

    @Test
    void sendsAnUnsafeCallElsewhereWhenTheUpstreamSaysThatItDidNotRun() {
        fleet(plain("a"), plain("b"));
        arrive(live(1, false, 3));
        end(1, 1, AttemptOutcome.NOT_RUN);
        assertThat(starts(), hasSize(2));
    }

    @Test
    void saysNotRunOnlyWhenEveryAttemptWasRefused() {
        fleet(plain("a"), plain("b"));
        arrive(live(1, true, 2));
        end(1, 1, AttemptOutcome.NOT_RUN);
        end(1, 2, AttemptOutcome.NOT_RUN);
        assertThat(lastRefusal(), is(ForwardRefusal.UPSTREAMS_FULL));
        arrive(live(2, true, 2));
        end(2, 1, AttemptOutcome.NOT_RUN);
        end(2, 2, AttemptOutcome.SILENT);
        assertThat(lastRefusal(), is(ForwardRefusal.ANSWER_LOST));
    }

    @Test
    void refusesAtOnceWhenNoUpstreamIsListed() {
        arrive(live(1, true, 2));
        assertThat(lastRefusal(), is(ForwardRefusal.NO_UPSTREAM));
    }

    @Test
    void neverSendsACallToMoreUpstreamsThanItsRouteAllows() {
        fleet(plain("a"), plain("b"), plain("c"), plain("d"));
        arrive(live(1, true, 2));
        end(1, 1, AttemptOutcome.LOST);
        end(1, 2, AttemptOutcome.LOST);
        assertThat(starts(), hasSize(2));
    }

    @Test
    void doesNotCountAnAttemptThatFoundNoConnection() {
        fleet(plain("a"), plain("b"), plain("c"));
        arrive(live(1, true, 2));
        end(1, 1, AttemptOutcome.NOT_CONNECTED);
        end(1, 2, AttemptOutcome.LOST);
        assertThat(starts(), hasSize(3));
    }

    @Test
    void endsACallAtItsDeadlineAndCancelsWhatRuns() {
        fleet(plain("a"));
        arrive(live(1, true, 1));
        mDuty.onTimer(800 * MILLI, mActions::add);
        assertThat(lastRefusal(), is(ForwardRefusal.LATE));
        assertThat(mActions.get(mActions.size() - 2), is(new ForwardAction.Cancel(1, 1)));
    }

    @Test
    void hedgesASafeCallThatTakesLong() {
        fleet(plain("a"), plain("b"));
        arrive(live(1, true, 2));
        mDuty.onTimer(75 * MILLI, mActions::add);
        assertThat(lastStart().reason(), is(ForwardAction.StartReason.HEDGE));
        end(1, 2, AttemptOutcome.ANSWERED);
        assertThat(mActions.contains(new ForwardAction.Deliver(1, 2)), is(true));
        assertThat(mActions.contains(new ForwardAction.Cancel(1, 1)), is(true));
    }

    @Test
    void freesTheUpstreamOfACallerWhoLeft() {
        fleet(plain("a"));
        arrive(live(1, true, 1));
        event(new ForwardEvent.Cancelled(1));
        assertThat(mActions.contains(new ForwardAction.Cancel(1, 1)), is(true));
        end(1, 1, AttemptOutcome.CANCELLED);
        assertThat(refusals(), is(empty()));
    }

    @Test
    void keepsAnItemQueuedUntilAnUpstreamHasRoom() {
        fleet(engine("e", 5));
        arrive(item(1, 5, 10));
        arrive(item(2, 5, 20));
        arrive(item(3, 5, 15));
        assertThat(starts(), hasSize(2));
        end(1, 1, AttemptOutcome.ANSWERED);
        // Of the two queued items, the more urgent one goes first.
        assertThat(lastStart().call().number(), is(3L));
    }

    /** Guards against queued calls that wait though an upstream has room for them. */
    @Test
    void startsAQueuedItemBehindOthersThatFindNoRoom() {
        fleet(engine("old", 4), engine("new", 5));
        for (int number = 1; number <= 10; number++) {
            arrive(item(number, 5, number));
        }
        arrive(item(11, 4, 11));
        arrive(item(12, 4, 12));
        arrive(item(13, 4, 13));
        assertThat(starts(), hasSize(4));
        end(11, 1, AttemptOutcome.ANSWERED);
        assertThat(lastStart().call().number(), is(13L));
        assertThat(lastStart().upstream().id(), is("old"));
    }

    /** Guards against a slot that stays empty: a cancellation alone looks for no room. */
    @Test
    void fillsTheSlotOfACancelledItemOnceItsAttemptHasEnded() {
        fleet(engine("e", 5));
        arrive(item(1, 5, 10));
        arrive(item(2, 5, 20));
        arrive(item(3, 5, 30));
        event(new ForwardEvent.Cancelled(1));
        assertThat(starts(), hasSize(2));
        end(1, 1, AttemptOutcome.CANCELLED);
        assertThat(lastStart().call().number(), is(3L));
    }

    @Test
    void sendsAnItemOnlyWhereItsWeightVersionIsLoaded() {
        fleet(engine("old", 4), engine("new", 5));
        arrive(item(1, 5, 10));
        assertThat(lastStart().upstream().id(), is("new"));
    }

    @Test
    void usesAnUpstreamAgainOnceAnAnswerNamesTheVersion() {
        fleet(engine("e", 4));
        arrive(item(1, 4, 10));
        event(
                new ForwardEvent.AttemptEnded(
                        1, 1, new AttemptReport(AttemptOutcome.ANSWERED, Option.none(), 5)));
        arrive(item(2, 5, 10));
        assertThat(lastStart().call().number(), is(2L));
    }

    @Test
    void runsAnItemAgainUntilItHasFailedAsOftenAsItsRouteAllows() {
        fleet(engine("e", 5));
        arrive(item(1, 5, 10));
        end(1, 1, AttemptOutcome.LOST);
        mDuty.onTimer(300 * MILLI, mActions::add);
        assertThat(starts(), hasSize(2));
        end(1, 2, AttemptOutcome.FAILED);
        mDuty.onTimer(600 * MILLI, mActions::add);
        end(1, 3, AttemptOutcome.FAILED);
        mDuty.onTimer(900 * MILLI, mActions::add);
        end(1, 4, AttemptOutcome.FAILED);
        assertThat(lastRefusal(), is(ForwardRefusal.EXHAUSTED));
        assertThat(starts(), hasSize(4));
    }

    /** Guards against items that are sent again without end. */
    @Test
    void endsAnItemThatAnUpstreamRejects() {
        fleet(engine("e", 5));
        arrive(item(1, 5, 10));
        end(1, 1, AttemptOutcome.REJECTED);
        assertThat(lastRefusal(), is(ForwardRefusal.REJECTED));
        mDuty.onTimer(900 * MILLI, mActions::add);
        assertThat(starts(), hasSize(1));
    }

    @Test
    void passesARejectionOnToALiveCaller() {
        fleet(plain("a"));
        arrive(live(1, true, 2));
        end(1, 1, AttemptOutcome.REJECTED);
        assertThat(mActions.contains(new ForwardAction.Deliver(1, 1)), is(true));
    }

    @Test
    void sendsItemsOfAGroupToTheUpstreamThatHasTheirPromptCached() {
        fleet(engine("e1", 5), engine("e2", 5), engine("e3", 5));
        arrive(item(1, 5, 10));
        String first = lastStart().upstream().id();
        end(1, 1, AttemptOutcome.ANSWERED);
        arrive(item(2, 5, 10));
        assertThat(lastStart().upstream().id(), is(first));
    }

    @Test
    void sendsNothingToAnUpstreamThatIsLeaving() {
        fleet(leaving("a"), plain("b"));
        for (int number = 1; number <= 5; number++) {
            arrive(live(number, true, 1));
            assertThat(lastStart().upstream().id(), is("b"));
        }
    }

    @Test
    void passesTheUpstreamsOwnFailureOnWhenNoAttemptIsLeft() {
        fleet(plain("a"));
        arrive(live(1, false, 1));
        end(1, 1, AttemptOutcome.FAILED);
        assertThat(mActions.get(mActions.size() - 1), is(instanceOf(ForwardAction.Deliver.class)));
    }

    @Test
    void movesARunningItemToAnUpstreamThatIsMuchFaster() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        String slow = starts().get(0).upstream().id();
        progress(2, 1, 40, 2_000);
        progress(1, 1, 60, 2_000);
        assertThat(cancellations(), hasSize(0));
        progress(1, 1, 200, 2_000);
        assertThat(cancellations(), hasSize(1));
        assertThat(lastStart().reason(), is(ForwardAction.StartReason.MOVE));
        assertThat(lastStart().upstream().id(), is(not(slow)));
    }

    /** Else an item that moves could end in the queue or run twice at once. */
    @Test
    void startsNothingWhenTheEndOfAMovedAttemptIsReported() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        progress(2, 1, 40, 2_000);
        progress(1, 1, 200, 2_000);
        int before = starts().size();
        end(1, 1, AttemptOutcome.CANCELLED);
        assertThat(starts(), hasSize(before));
        end(1, 2, AttemptOutcome.NOT_RUN);
        assertThat(starts(), hasSize(before + 1));
    }

    /** A move costs a connection and reads the prompt again. */
    @Test
    void movesNoItemForADifferenceThatLoadAloneExplains() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(longItem(1));
        arrive(longItem(2));
        progress(2, 1, 60, 2_000);
        progress(1, 1, 69, 2_000);
        assertThat(cancellations(), hasSize(0));
    }

    @Test
    void movesNoItemThatHasJustBegun() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        progress(2, 1, 40, 500);
        progress(1, 1, 120, 500);
        assertThat(cancellations(), hasSize(0));
    }

    @Test
    void movesNoItemWhileTheFasterUpstreamHasNoFreeSlot() {
        fleet(engine("a", 1), engine("b", 1));
        for (int number = 1; number <= 4; number++) {
            arrive(item(number, 1, number));
        }
        progress(2, 1, 40, 3_000);
        progress(1, 1, 400, 3_000);
        assertThat(cancellations(), hasSize(0));
    }

    @Test
    void movesAnItemOnlyAFewTimes() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        for (int attempt = 1; attempt <= 9; attempt++) {
            progress(2, 1, 10, 3_000);
            progress(1, attempt, 90_000, 3_000);
            end(1, attempt, AttemptOutcome.CANCELLED);
        }
        assertThat(cancellations().size() <= 3, is(true));
    }

    @Test
    void sendsLongItemsToTheFastestUpstreamWhileItHasAFreeSlot() {
        String fast = measuredPaces();
        arrive(longItem(3));
        assertThat(lastStart().upstream().id(), is(fast));
        arrive(longItem(4));
        assertThat(lastStart().upstream().id(), is(fast));
        arrive(longItem(5));
        assertThat(lastStart().upstream().id(), is(not(fast)));
    }

    @Test
    void leavesTheFastestUpstreamToLongItems() {
        String fast = measuredPaces();
        arrive(longItem(3));
        arrive(item(4, 1, 4));
        assertThat(lastStart().upstream().id(), is(not(fast)));
    }

    @Test
    void movesALongItemForASmallerGain() {
        String fast = measuredPaces();
        arrive(longItem(3));
        arrive(longItem(4));
        arrive(longItem(5));
        event(new ForwardEvent.Progressed(5, 1, 52 * MILLI));
        assertThat(cancellations(), hasSize(0));
        end(3, 1, AttemptOutcome.ANSWERED);
        event(new ForwardEvent.Progressed(5, 1, 52 * MILLI));
        assertThat(cancellations(), hasSize(1));
        assertThat(lastStart().upstream().id(), is(fast));
    }

    /** Returns the name of an upstream that needs less time for an event than the other one. */
    private String measuredPaces() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        String fast = starts().get(0).upstream().id();
        event(new ForwardEvent.Progressed(1, 1, 39 * MILLI));
        event(new ForwardEvent.Progressed(2, 1, 52 * MILLI));
        end(1, 1, AttemptOutcome.ANSWERED);
        end(2, 1, AttemptOutcome.ANSWERED);
        return fast;
    }

    private static ForwardCall longItem(long number) {
        ForwardCall call = item(number, 1, number);
        return new ForwardCall(
                number,
                call.kind(),
                call.shares(),
                call.idempotent(),
                call.maxAttempts(),
                call.model(),
                call.minVersion(),
                call.affinity(),
                CallTraits.UNKNOWN,
                call.queueRank(),
                true,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    private static FleetUpstream leaving(String id) {
        return upstream(id, "plain", false, Map.of());
    }
}

package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.kernel.duty.Duty;
import org.junit.jupiter.api.Test;

class ForwardDutyTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long LEAVING_NANOS = 2_000 * MILLI;

    private final ForwardDuty mDuty = new ForwardDuty(new SplittableRandom(1), LEAVING_NANOS);
    private final List<ForwardAction> mActions = new ArrayList<>();

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

    /** Guards against new work for an upstream that will be gone before the list shows it. */
    @Test
    void sendsNothingToAnUpstreamThatAnnouncesItsLeavingWhileOthersHaveRoom() {
        fleet(plain("a"), plain("b"));
        announceLeaving(plain("a"), 0);
        for (int number = 1; number <= 5; number++) {
            arrive(live(number, true, 1));
            assertThat(lastStart().upstream().id(), is("b"));
        }
    }

    @Test
    void sendsCallsToTheOnlyUpstreamUntilItsTimeToLeaveIsOver() {
        fleet(plain("a"));
        announceLeaving(plain("a"), 0);
        arrive(liveAt(1, LEAVING_NANOS), LEAVING_NANOS);
        assertThat(starts(), hasSize(1));
        arrive(liveAt(2, LEAVING_NANOS + 1), LEAVING_NANOS + 1);
        assertThat(starts(), hasSize(1));
        assertThat(lastRefusal(), is(ForwardRefusal.NO_UPSTREAM));
    }

    /** A call that its caller sent in time may be tried there later, for example after a loss. */
    @Test
    void countsTheTimeOfALiveCallFromItsArrival() {
        fleet(plain("a"), plain("b"));
        announceLeaving(plain("a"), 0);
        arrive(liveAt(1, LEAVING_NANOS), LEAVING_NANOS);
        mDuty.onEvent(
                new ForwardEvent.AttemptEnded(1, 1, AttemptReport.of(AttemptOutcome.LOST)),
                LEAVING_NANOS + 100 * MILLI,
                mActions::add);
        assertThat(lastStart().upstream().id(), is("a"));
    }

    /** Guards against a late report or a late response that makes a leaving upstream usable. */
    @Test
    void keepsAnUpstreamLeavingThroughLateReportsUntilItStartsAgain() {
        fleet(plain("a"), plain("b"));
        announceLeaving(plain("a"), 0);
        fleet(plain("b"));
        fleet(plain("a"));
        arrive(liveAt(1, 3 * LEAVING_NANOS), 3 * LEAVING_NANOS);
        assertThat(lastRefusal(), is(ForwardRefusal.NO_UPSTREAM));
        fleet(startedAt(plain("a"), 2));
        announceLeaving(plain("a"), 3 * LEAVING_NANOS);
        arrive(liveAt(2, 9 * LEAVING_NANOS), 9 * LEAVING_NANOS);
        assertThat(lastStart().upstream().id(), is("a"));
    }

    @Test
    void usesAnotherUpstreamAtTheAddressOfOneThatIsLeaving() {
        fleet(plain("a"));
        announceLeaving(plain("a"), 0);
        fleet(plain("successor"));
        arrive(liveAt(1, 3 * LEAVING_NANOS), 3 * LEAVING_NANOS);
        assertThat(lastStart().upstream().id(), is("successor"));
    }

    @Test
    void keepsQueuedItemsForUpstreamsThatStay() {
        fleet(engine("a", 1), engine("b", 1));
        announceLeaving(engine("a", 1), 0);
        for (int number = 1; number <= 4; number++) {
            arrive(item(number, 1, number));
        }
        assertThat(starts(), hasSize(2));
        assertThat(lastStart().upstream().id(), is("b"));
    }

    @Test
    void runsItemsAtTheOnlyUpstreamWhileItServesAndKeepsThemAfterwards() {
        fleet(engine("a", 1));
        announceLeaving(engine("a", 1), 0);
        arrive(item(1, 1, 1));
        assertThat(starts(), hasSize(1));
        arrive(item(2, 1, 2), LEAVING_NANOS + 1);
        assertThat(starts(), hasSize(1));
        assertThat(refusals(), is(empty()));
        mDuty.onEvent(
                new ForwardEvent.FleetChanged(List.of(engine("a", 1), engine("c", 1))),
                LEAVING_NANOS + 2,
                mActions::add);
        assertThat(lastStart().upstream().id(), is("c"));
    }

    @Test
    void movesNoRunningItemToAnUpstreamThatIsLeaving() {
        fleet(engine("a", 1), engine("b", 1));
        arrive(item(1, 1, 0));
        arrive(item(2, 1, 1));
        progress(2, 1, 40, 2_000);
        announceLeaving(starts().get(1).upstream(), 0);
        progress(1, 1, 200, 2_000);
        assertThat(cancellations(), hasSize(0));
    }

    @Test
    void notesOnceThatAnUpstreamIsLeaving() {
        fleet(plain("a"));
        announceLeaving(plain("a"), 0);
        announceLeaving(plain("a"), MILLI);
        assertThat(
                mActions.stream().filter(ForwardAction.NoteLeaving.class::isInstance).toList(),
                hasSize(1));
    }

    private void announceLeaving(FleetUpstream upstream, long sinceNanos) {
        event(new ForwardEvent.LeavingAnnounced(upstream, sinceNanos));
    }

    private void arrive(ForwardCall call, long now) {
        mDuty.onEvent(new ForwardEvent.Arrived(call), now, mActions::add);
    }

    private static ForwardCall liveAt(long number, long arrivedNanos) {
        ForwardCall call = live(number, true, 2);
        return new ForwardCall(
                number,
                call.kind(),
                call.shares(),
                call.idempotent(),
                call.maxAttempts(),
                call.model(),
                call.minVersion(),
                call.affinity(),
                call.queueRank(),
                false,
                arrivedNanos,
                arrivedNanos + call.deadlineNanos(),
                Duty.NO_TIMER);
    }

    private static FleetUpstream startedAt(FleetUpstream upstream, long startedMillis) {
        return new FleetUpstream(
                upstream.id(),
                upstream.service(),
                upstream.host(),
                upstream.port(),
                upstream.failureDomain(),
                upstream.slots(),
                upstream.serving(),
                upstream.versions(),
                startedMillis);
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

    private void progress(long number, int attempt, long millisPerEvent, long nowMillis) {
        mDuty.onEvent(
                new ForwardEvent.Progressed(number, attempt, millisPerEvent * MILLI),
                nowMillis * MILLI,
                mActions::add);
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

    private List<ForwardAction.Cancel> cancellations() {
        return mActions.stream()
                .filter(ForwardAction.Cancel.class::isInstance)
                .map(ForwardAction.Cancel.class::cast)
                .toList();
    }

    private void fleet(FleetUpstream... upstreams) {
        event(new ForwardEvent.FleetChanged(List.of(upstreams)));
    }

    private void arrive(ForwardCall call) {
        event(new ForwardEvent.Arrived(call));
    }

    private void end(long number, int attempt, AttemptOutcome outcome) {
        event(new ForwardEvent.AttemptEnded(number, attempt, AttemptReport.of(outcome)));
    }

    private void event(ForwardEvent event) {
        mDuty.onEvent(event, 0, mActions::add);
    }

    private List<ForwardAction.Start> starts() {
        return mActions.stream()
                .filter(ForwardAction.Start.class::isInstance)
                .map(ForwardAction.Start.class::cast)
                .toList();
    }

    private ForwardAction.Start lastStart() {
        return starts().get(starts().size() - 1);
    }

    private List<ForwardRefusal> refusals() {
        return mActions.stream()
                .filter(ForwardAction.Refuse.class::isInstance)
                .map(action -> ((ForwardAction.Refuse) action).reason())
                .toList();
    }

    private ForwardRefusal lastRefusal() {
        return refusals().get(refusals().size() - 1);
    }

    private static ForwardCall live(long number, boolean idempotent, int maxAttempts) {
        return new ForwardCall(
                number,
                ForwardCallKind.LIVE,
                List.of(new ServiceShare("plain", 1)),
                idempotent,
                maxAttempts,
                "",
                0,
                "",
                0,
                false,
                0,
                800 * MILLI,
                75 * MILLI);
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
                call.queueRank(),
                true,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    private static ForwardCall item(long number, long minVersion, long urgency) {
        return new ForwardCall(
                number,
                ForwardCallKind.ITEM,
                List.of(new ServiceShare("engines", 1)),
                true,
                3,
                "m",
                minVersion,
                "group",
                urgency,
                false,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    private static FleetUpstream plain(String id) {
        return upstream(id, "plain", true, Map.of());
    }

    private static FleetUpstream leaving(String id) {
        return upstream(id, "plain", false, Map.of());
    }

    private static FleetUpstream engine(String id, long version) {
        return upstream(id, "engines", true, Map.of("m", version));
    }

    private static FleetUpstream upstream(
            String id, String service, boolean serving, Map<String, Long> versions) {
        return new FleetUpstream(id, service, "10.0.0.1", 80, "z", 2, serving, versions, 1);
    }
}

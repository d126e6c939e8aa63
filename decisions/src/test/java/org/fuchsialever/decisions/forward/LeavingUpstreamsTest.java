package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.ServingUpstreams;
import org.fuchsialever.kernel.duty.Duty;
import org.junit.jupiter.api.Test;

/** Calls while an upstream announces in its responses that it is leaving. */
class LeavingUpstreamsTest extends ForwardDutyFixture {
    /** Unix time after all announcements of these tests, in milliseconds. */
    private static final long LATER_MILLIS = 100_000;

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
        fleet(startedAt(plain("a"), LATER_MILLIS));
        announceLeaving(plain("a"), 3 * LEAVING_NANOS);
        arrive(liveAt(2, 9 * LEAVING_NANOS), 9 * LEAVING_NANOS);
        assertThat(lastStart().upstream().id(), is("a"));
    }

    /** Guards against an announcement that is forgotten once the list shows who has made it. */
    @Test
    void keepsAnUpstreamLeavingWhoseLastStartTheListShowsOnlyLater() {
        FleetUpstream before = startedAt(plain("a"), 1_000);
        fleet(before);
        event(new ForwardEvent.LeavingAnnounced(before, 0, 20_000));
        fleet(startedAt(plain("a"), 15_000));
        arrive(liveAt(1, 3 * LEAVING_NANOS), 3 * LEAVING_NANOS);
        assertThat(lastRefusal(), is(ForwardRefusal.NO_UPSTREAM));
    }

    @Test
    void keepsAnUpstreamLeavingThoughTheClockWasSetBack() {
        FleetUpstream before = startedAt(plain("a"), 1_000);
        fleet(before);
        event(new ForwardEvent.LeavingAnnounced(plain("other"), 0, 20_000));
        event(new ForwardEvent.LeavingAnnounced(before, 3_000 * MILLI, 21_000));
        fleet(startedAt(plain("a"), 22_500));
        arrive(liveAt(1, 9 * LEAVING_NANOS), 9 * LEAVING_NANOS);
        assertThat(lastRefusal(), is(ForwardRefusal.NO_UPSTREAM));
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

    /** Guards against calls that waited for their connection while the upstream began to leave. */
    @Test
    void withdrawsAnUpstreamThatLeavesTheListFromCallsThatAreNotSentYet() {
        fleet(plain("a"), plain("b"));
        assertThat(serving().mayGet("a", 0), is(true));
        fleet(upstream("a", "plain", false, Map.of()), plain("b"));
        assertThat(serving().mayGet("a", 0), is(false));
        fleet(plain("b"));
        assertThat(serving().mayGet("a", 0), is(false));
        assertThat(serving().mayGet("b", 0), is(true));
    }

    @Test
    void withdrawsAnUpstreamThatAnnouncesItsLeavingFromCallsThatWereSentLater() {
        fleet(plain("a"));
        announceLeaving(plain("a"), MILLI);
        assertThat(serving().mayGet("a", MILLI + LEAVING_NANOS), is(true));
        assertThat(serving().mayGet("a", MILLI + LEAVING_NANOS + 1), is(false));
    }

    /** Guards against an attempt that counts although no upstream has seen the call. */
    @Test
    void runsAWithdrawnCallElsewhereWhateverItsRouteAllows() {
        fleet(plain("a"));
        arrive(live(1, false, 1));
        fleet(plain("b"));
        end(1, 1, AttemptOutcome.WITHDRAWN);
        assertThat(lastStart().upstream().id(), is("b"));
        assertThat(refusals(), is(empty()));
    }

    @Test
    void saysNotRunOfAWithdrawnCallThatNoOtherUpstreamCanRun() {
        fleet(plain("a"));
        arrive(live(1, false, 1));
        fleet();
        end(1, 1, AttemptOutcome.WITHDRAWN);
        assertThat(lastRefusal().isNotRun(), is(true));
    }

    private ServingUpstreams serving() {
        ServingUpstreams last = ServingUpstreams.none();
        for (ForwardAction action : mActions) {
            if (action instanceof ForwardAction.PublishServing published) {
                last = published.serving();
            }
        }
        return last;
    }

    private void announceLeaving(FleetUpstream upstream, long sinceNanos) {
        event(new ForwardEvent.LeavingAnnounced(upstream, sinceNanos, sinceNanos / MILLI));
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
                CallTraits.UNKNOWN,
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
}

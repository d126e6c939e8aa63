package org.fuchsialever.decisions.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.domain.DomainSpill;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.fleet.UpstreamBalancing;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.Duty;
import org.junit.jupiter.api.Test;

/** Callers of many teams before upstreams of two slots each. */
class FairQueueingTest extends ForwardDutyFixture {
    private static final LoadHint THREE_FIGURES = new LoadHint(1, 0, 2, Option.none());
    private static final LoadHint FOUR_FIGURES = new LoadHint(1, 0, 2, Option.some(1.0));
    private static final long MAX_WAIT_MILLIS = 40;

    @Override
    Queueing queueing() {
        return Queueing.FAIR;
    }

    /** A deployment whose upstreams report three figures is served as by due time alone. */
    @Test
    void leavesOrderAndRefusalsAsTheyAreWhereNoSlowdownIsReported() {
        assertThat(play(Queueing.AUTO, THREE_FIGURES), is(play(Queueing.DUE_TIME, THREE_FIGURES)));
        assertThat(
                play(Queueing.AUTO, FOUR_FIGURES), is(not(play(Queueing.DUE_TIME, FOUR_FIGURES))));
    }

    @Test
    void queuesAServiceFairlyOnceOneOfItsUpstreamsHasReportedItsSlowdown() {
        List<ForwardAction> actions = play(Queueing.AUTO, FOUR_FIGURES);
        assertThat(
                actions.stream().filter(ForwardAction.QueueFairly.class::isInstance).toList(),
                is(List.of(new ForwardAction.QueueFairly("plain"))));
    }

    @Test
    void holdsALiveCallUntilAnUpstreamHasASlot() {
        fleet(plain("a"));
        for (int number = 1; number <= 3; number++) {
            at(0, new ForwardEvent.Arrived(waiting(number, "t" + number, 0, 0, true)));
        }
        assertThat(starts(), hasSize(3));
        at(0, new ForwardEvent.Arrived(waiting(4, "t4", 0, 0, true)));
        assertThat(starts(), hasSize(3));
        assertThat(refusals(), is(empty()));
        ended(1, 10);
        assertThat(lastStart().call().number(), is(4L));
    }

    @Test
    void sendsALiveCallToABusyUpstreamWhenItsWaitIsOver() {
        fleet(plain("a"));
        for (int number = 1; number <= 4; number++) {
            at(0, new ForwardEvent.Arrived(waiting(number, "t", 0, 0, true)));
        }
        timersUntil(MAX_WAIT_MILLIS);
        assertThat(lastStart().call().number(), is(4L));
        assertThat(lastStart().reason(), is(ForwardAction.StartReason.FIRST));
    }

    @Test
    void sendsALiveCallAtOnceWhereNoSlotIsInSight() {
        fleet(plain("a"));
        for (int number = 1; number <= 8; number++) {
            // Five calls a second end, so a slot is further away than a call may wait.
            ended(number - 3, 200L * number);
            at(200L * number, new ForwardEvent.Arrived(waiting(number, "t", 0, 0, true)));
        }
        assertThat(starts(), hasSize(8));
        at(1_600, new ForwardEvent.Arrived(waiting(9, "t", 0, 1_600, true)));
        assertThat(lastStart().call().number(), is(9L));
    }

    @Test
    void servesTheMoreUrgentRankFirst() {
        fleet(engine("e", 5));
        at(0, new ForwardEvent.Arrived(step(1, "a", 1, 0)));
        at(0, new ForwardEvent.Arrived(step(2, "a", 1, 0)));
        at(0, new ForwardEvent.Arrived(step(3, "b", 1, 10)));
        at(0, new ForwardEvent.Arrived(step(4, "c", 0, 20)));
        ended(1, 5);
        assertThat(lastStart().call().number(), is(4L));
        ended(2, 6);
        assertThat(lastStart().call().number(), is(3L));
    }

    /** Guards against promises that are broken: what was refused as not run was sent nowhere. */
    @Test
    void refusesAtOnceAndTrulyWhenAPoolIsLostAndServesInOrderWhenItIsBack() {
        fleet(engine("e", 5), plain("a"));
        at(0, new ForwardEvent.Arrived(step(1, "a", 0, 0)));
        at(0, new ForwardEvent.Arrived(step(2, "a", 0, 1)));
        at(0, new ForwardEvent.FleetChanged(List.of()));
        at(1, new ForwardEvent.AttemptEnded(1, 1, AttemptReport.of(AttemptOutcome.LOST)));
        at(1, new ForwardEvent.AttemptEnded(2, 1, AttemptReport.of(AttemptOutcome.LOST)));
        at(1, new ForwardEvent.Arrived(step(3, "b", 0, 5)));
        at(1, new ForwardEvent.Arrived(step(4, "b", 0, 3)));
        Set<Long> hints = new HashSet<>();
        for (int number = 10; number < 30; number++) {
            at(1, new ForwardEvent.Arrived(waiting(number, "t" + number, 0, 1, true)));
            ForwardAction.Refuse refused = (ForwardAction.Refuse) mActions.get(mActions.size() - 1);
            assertThat(refused.reason(), is(ForwardRefusal.NO_UPSTREAM));
            assertThat(refused.retryAfterMillis(), is(lessThanOrEqualTo(800L / 3)));
            hints.add(refused.retryAfterMillis());
        }
        assertThat(hints.size(), is(greaterThan(10)));
        assertThat(starts(), hasSize(2));
        at(50, new ForwardEvent.FleetChanged(List.of(engine("f", 5), plain("a"))));
        timersUntil(60);
        assertThat(
                starts().stream().skip(2).map(start -> start.call().number()).toList(),
                contains(1L, 2L));
        ended(1, 70);
        ended(2, 71);
        assertThat(
                starts().stream().skip(4).map(start -> start.call().number()).toList(),
                contains(4L, 3L));
    }

    /** Items of equal due time are due at their place, so that an early call is not overtaken. */
    @Test
    void letsACallThatArrivesTakeItsTurnBehindThoseThatWait() {
        fleet(engine("e", 5));
        for (int number = 1; number <= 3; number++) {
            at(0, new ForwardEvent.Arrived(step(number, "a", 0, number)));
        }
        // A slot that nobody has reported yet is free again at this time.
        mDuty.onEvent(
                new ForwardEvent.AttemptEnded(1, 1, AttemptReport.of(AttemptOutcome.NOT_RUN)),
                MILLI,
                mActions::add);
        at(200, new ForwardEvent.Arrived(step(4, "a", 0, 9)));
        assertThat(
                starts().stream().map(start -> start.call().number()).toList(),
                contains(1L, 2L, 1L));
    }

    private static List<ForwardAction> play(Queueing queueing, LoadHint hint) {
        ForwardDuty duty =
                new ForwardDuty(
                        new SplittableRandom(3),
                        UpstreamBalancing.AUTO,
                        queueing,
                        LEAVING_NANOS,
                        DomainSpill.disabled(new SplittableRandom(1)));
        SplittableRandom random = new SplittableRandom(5);
        List<ForwardAction> actions = new ArrayList<>();
        duty.onEvent(
                new ForwardEvent.FleetChanged(List.of(plain("a"), plain("b"))), 0, actions::add);
        int ended = 0;
        for (int number = 1; number <= 400; number++) {
            long now = number * 5 * MILLI;
            duty.onTimer(now, actions::add);
            boolean idempotent = random.nextBoolean();
            ForwardCall call =
                    random.nextBoolean()
                            ? waiting(number, "t" + random.nextInt(9), 0, 5L * number, idempotent)
                            : score(number, "t" + random.nextInt(3), random.nextInt(1_000));
            duty.onEvent(new ForwardEvent.Arrived(call), now, actions::add);
            List<ForwardAction.Start> starts =
                    actions.stream()
                            .filter(ForwardAction.Start.class::isInstance)
                            .map(ForwardAction.Start.class::cast)
                            .toList();
            while (starts.size() - ended > 9) {
                ForwardAction.Start start = starts.get(ended++);
                AttemptOutcome outcome =
                        random.nextInt(4) == 0 ? AttemptOutcome.NOT_RUN : AttemptOutcome.ANSWERED;
                duty.onEvent(
                        new ForwardEvent.AttemptEnded(
                                start.call().number(),
                                start.attempt(),
                                new AttemptReport(outcome, Option.some(hint), 0)),
                        now,
                        actions::add);
            }
        }
        return actions;
    }

    private void at(long millis, ForwardEvent event) {
        mDuty.onEvent(event, millis * MILLI, mActions::add);
    }

    private void ended(long number, long millis) {
        int attempt =
                (int) starts().stream().filter(start -> start.call().number() == number).count();
        at(
                millis,
                new ForwardEvent.AttemptEnded(
                        number, attempt, AttemptReport.of(AttemptOutcome.ANSWERED)));
    }

    private void timersUntil(long millis) {
        while (mDuty.nextTimerNanos() <= millis * MILLI) {
            mDuty.onTimer(mDuty.nextTimerNanos(), mActions::add);
        }
    }

    private static ForwardCall waiting(
            long number, String team, int rank, long arrivedMillis, boolean idempotent) {
        return new ForwardCall(
                number,
                ForwardCallKind.LIVE,
                List.of(new ServiceShare("plain", 1)),
                idempotent,
                2,
                "",
                0,
                "",
                new CallTraits(team, rank, 0, 1, MAX_WAIT_MILLIS * MILLI, 0),
                0,
                false,
                arrivedMillis * MILLI,
                (arrivedMillis + 800) * MILLI,
                Duty.NO_TIMER);
    }

    private static ForwardCall step(long number, String team, int rank, long queueRank) {
        return queued(ForwardCallKind.ITEM, "engines", "m", number, team, rank, queueRank);
    }

    private static ForwardCall score(long number, String team, long queueRank) {
        return queued(ForwardCallKind.SCORE, "plain", "", number, team, 0, queueRank);
    }

    private static ForwardCall queued(
            ForwardCallKind kind,
            String service,
            String model,
            long number,
            String team,
            int rank,
            long queueRank) {
        return new ForwardCall(
                number,
                kind,
                List.of(new ServiceShare(service, 1)),
                true,
                3,
                model,
                0,
                "",
                new CallTraits(team, rank, 10),
                queueRank,
                false,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }
}

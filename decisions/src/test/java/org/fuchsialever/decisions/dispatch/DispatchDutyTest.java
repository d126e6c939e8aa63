package org.fuchsialever.decisions.dispatch;

import static org.fuchsialever.decisions.dispatch.DispatchFixture.upstream;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.junit.jupiter.api.Test;

class DispatchDutyTest {
    private final DispatchFixture fixture = new DispatchFixture();

    @Test
    void neverSendsANonRepeatableRequestAgainAfterItMayHaveRun() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        fixture.arrive(false, false);

        fixture.end(fixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        fixture.advance(Duration.ofSeconds(5));

        assertThat(fixture.starts(), hasSize(1));
        assertThat(fixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void sendsANonRepeatableRequestElsewhereIfItCertainlyDidNotRun() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        fixture.arrive(false, false);
        UpstreamId first = fixture.lastStart().upstream().id();

        fixture.end(fixture.lastStart(), AttemptResult.NOT_CONNECTED, 0);
        fixture.advance(Duration.ofSeconds(1));

        assertThat(fixture.starts(), hasSize(2));
        assertThat(fixture.lastStart().upstream().id(), is(not(first)));
    }

    @Test
    void neverSaysNotRunAfterAnAttemptThatMayHaveRun() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        fixture.arrive(true, false);

        fixture.end(fixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        for (int i = 0; i < 6; i++) {
            fixture.advance(Duration.ofSeconds(2));
            fixture.end(fixture.lastStart(), AttemptResult.NOT_CONNECTED, 0);
        }

        assertThat(fixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void resumesAStreamFromTheLastTokenReceived() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        RequestId id = fixture.arrive(true, true);

        fixture.send(new DispatchEvent.AttemptProgressed(id, 1, 5));
        fixture.end(fixture.lastStart(), AttemptResult.SILENT, 7);
        fixture.advance(Duration.ofMillis(1));

        assertThat(fixture.lastStart().attempt(), is(2));
        assertThat(fixture.lastStart().resumeFrom(), is(7));
    }

    @Test
    void doesNotRepeatAPartlyDeliveredAnswerThatCannotBeResumed() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        fixture.arrive(true, false);

        fixture.end(fixture.lastStart(), AttemptResult.CONNECTION_LOST, 7);
        fixture.advance(Duration.ofSeconds(5));

        assertThat(fixture.starts(), hasSize(1));
        assertThat(fixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void ignoresTheEndOfAnAttemptThatIsNotTheCurrentOne() {
        fixture.configure(upstream(0, 4), upstream(1, 4));
        fixture.arrive(true, false);
        DispatchAction.StartAttempt first = fixture.lastStart();
        fixture.end(first, AttemptResult.NOT_CONNECTED, 0);
        fixture.advance(Duration.ofSeconds(1));

        fixture.end(first, AttemptResult.COMPLETED, 9);

        assertThat(fixture.ofType(DispatchAction.Finish.class), is(empty()));
    }

    @Test
    void limitsRetriesToTheBudgetOfTheRoute() {
        fixture.configure(upstream(0, 100), upstream(1, 100));
        for (int i = 0; i < 100; i++) {
            fixture.arrive(true, false);
            fixture.end(fixture.lastStart(), AttemptResult.UPSTREAM_ERROR, 0);
            fixture.advance(Duration.ofSeconds(20));
            DispatchAction.StartAttempt last = fixture.lastStart();
            if (last.attempt() > 1) {
                fixture.end(last, AttemptResult.COMPLETED, 1);
            }
        }

        int retries = fixture.ofType(DispatchAction.Retry.class).size();
        assertThat("retries for 100 requests and a reserve of 10", retries, lessThanOrEqualTo(20));
    }

    @Test
    void givesALeavingUpstreamNoNewWorkAndMovesWhatCanBeResumed() {
        fixture.configure(upstream(0, 8), upstream(1, 8));
        for (int i = 0; i < 4; i++) {
            fixture.arrive(true, true);
        }
        fixture.send(new DispatchEvent.UpstreamLeaving(new UpstreamId("u0")));
        fixture.actions.clear();
        fixture.advance(Duration.ofMillis(10));
        fixture.arrive(true, true);

        List<UpstreamId> used = fixture.starts().stream().map(s -> s.upstream().id()).toList();
        assertThat(used, everyItem(is(new UpstreamId("u1"))));
        assertThat(used, hasSize(3));
    }

    @Test
    void finishesWorkThatCannotBeResumedAtALeavingUpstream() {
        fixture.configure(upstream(0, 8));
        fixture.arrive(false, false);
        fixture.configure(upstream(0, 8, UpstreamState.LEAVING));

        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 3);

        assertThat(fixture.ofType(DispatchAction.CancelAttempt.class), is(empty()));
        assertThat(fixture.ofType(DispatchAction.Finish.class), hasSize(1));
    }

    @Test
    void takesTheUpstreamsOwnWordThatItIsLeaving() {
        fixture.configure(upstream(0, 8));
        fixture.send(
                new DispatchEvent.LoadReported(
                        new UpstreamId("u0"),
                        new LoadReport(0, 0, 8, new WeightVersion(1), "s", true, 0)));

        fixture.arrive(true, true);

        assertThat(fixture.refusals(), contains(RefusalReason.NO_UPSTREAM));
    }

    @Test
    void refusesAtOnceWhenTheQueueIsFull() {
        fixture.configure(upstream(0, 1));
        for (int i = 0; i < 10; i++) {
            fixture.arrive(true, false);
        }

        assertThat(fixture.starts(), hasSize(1));
        assertThat(fixture.refusals(), contains(RefusalReason.QUEUE_FULL));
    }

    @Test
    void endsRequestsAtTheirDeadlineAndSaysTruthfullyWhetherTheyMayHaveRun() {
        fixture.configure(upstream(0, 1));
        fixture.arrive(true, false);
        fixture.arrive(true, false);

        fixture.advance(Duration.ofSeconds(61));

        assertThat(fixture.ofType(DispatchAction.CancelAttempt.class), hasSize(1));
        assertThat(
                fixture.refusals(),
                contains(RefusalReason.DEADLINE_WHILE_RUNNING, RefusalReason.DEADLINE_IN_QUEUE));
    }

    @Test
    void servesLiveRequestsBeforeRolloutsUntilTheRolloutHasWaitedLong() {
        fixture.configure(upstream(0, 1));
        fixture.arrive(true, false);
        RequestId rollout = fixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 0);
        RequestId live = fixture.arrive(true, false);

        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 1);
        assertThat(fixture.lastStart().request(), is(live));

        fixture.advance(Duration.ofSeconds(31));
        fixture.arrive(true, false);
        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 1);
        assertThat(fixture.lastStart().request(), is(rollout));
    }

    @Test
    void servesTheTrainerThatIsFurthestBehindFirstWithinATeam() {
        fixture.configure(upstream(0, 1));
        fixture.arrive(true, false);
        fixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 1);
        RequestId behind = fixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 9);

        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 1);

        assertThat(fixture.lastStart().request(), is(behind));
    }

    @Test
    void alternatesBetweenTeamsWhateverTheLengthOfTheirQueues() {
        TeamName small = new TeamName("small");
        fixture.configure(upstream(0, 1));
        for (int i = 0; i < 7; i++) {
            fixture.arrive(true, false);
        }
        RequestId other = fixture.arrive(small, true, false, Priority.LIVE, 0);

        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 50);

        assertThat(fixture.lastStart().request(), is(other));
    }

    @Test
    void ejectsAFailingUpstreamButNeverMoreThanHalfOfThePool() {
        fixture.configure(upstream(0, 8), upstream(1, 8));
        for (int i = 0; i < 12; i++) {
            fixture.arrive(false, false);
            fixture.end(fixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        }
        fixture.actions.clear();
        for (int i = 0; i < 6; i++) {
            fixture.arrive(false, false);
            fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 1);
        }

        long used = fixture.starts().stream().map(s -> s.upstream().id()).distinct().count();
        assertThat(fixture.starts(), hasSize(6));
        assertThat(used, is(1L));
    }

    @Test
    void cancelsTheWorkOfACallerThatLeft() {
        fixture.configure(upstream(0, 1));
        RequestId id = fixture.arrive(true, false);

        fixture.send(new DispatchEvent.RequestCancelled(id));

        assertThat(
                fixture.ofType(DispatchAction.CancelAttempt.class),
                contains(new DispatchAction.CancelAttempt(id, 1)));
    }

    @Test
    void drainsByRefusingTheQueueAndFinishingWhatRuns() {
        fixture.configure(upstream(0, 1));
        fixture.arrive(true, false);
        fixture.arrive(true, false);
        fixture.send(new DispatchEvent.DrainStarted());
        assertThat(fixture.refusals(), contains(RefusalReason.DRAINING));
        assertThat(fixture.ofType(DispatchAction.Drained.class), is(empty()));

        fixture.end(fixture.lastStart(), AttemptResult.COMPLETED, 1);

        assertThat(fixture.ofType(DispatchAction.Drained.class), hasSize(1));
    }
}

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
    private final DispatchFixture mFixture = new DispatchFixture();

    @Test
    void neverSendsANonRepeatableRequestAgainAfterItMayHaveRun() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        mFixture.arrive(false, false);

        mFixture.end(mFixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        mFixture.advance(Duration.ofSeconds(5));

        assertThat(mFixture.starts(), hasSize(1));
        assertThat(mFixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void sendsANonRepeatableRequestElsewhereIfItCertainlyDidNotRun() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        mFixture.arrive(false, false);
        UpstreamId first = mFixture.lastStart().upstream().id();

        mFixture.end(mFixture.lastStart(), AttemptResult.NOT_CONNECTED, 0);
        mFixture.advance(Duration.ofSeconds(1));

        assertThat(mFixture.starts(), hasSize(2));
        assertThat(mFixture.lastStart().upstream().id(), is(not(first)));
    }

    @Test
    void neverSaysNotRunAfterAnAttemptThatMayHaveRun() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        mFixture.arrive(true, false);

        mFixture.end(mFixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        for (int i = 0; i < 6; i++) {
            mFixture.advance(Duration.ofSeconds(2));
            mFixture.end(mFixture.lastStart(), AttemptResult.NOT_CONNECTED, 0);
        }

        assertThat(mFixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void resumesAStreamFromTheLastTokenReceived() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        RequestId id = mFixture.arrive(true, true);

        mFixture.send(new DispatchEvent.AttemptProgressed(id, 1, 5));
        mFixture.end(mFixture.lastStart(), AttemptResult.SILENT, 7);
        mFixture.advance(Duration.ofMillis(1));

        assertThat(mFixture.lastStart().attempt(), is(2));
        assertThat(mFixture.lastStart().resumeFrom(), is(7));
    }

    @Test
    void doesNotRepeatAPartlyDeliveredAnswerThatCannotBeResumed() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        mFixture.arrive(true, false);

        mFixture.end(mFixture.lastStart(), AttemptResult.CONNECTION_LOST, 7);
        mFixture.advance(Duration.ofSeconds(5));

        assertThat(mFixture.starts(), hasSize(1));
        assertThat(mFixture.refusals(), contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void ignoresTheEndOfAnAttemptThatIsNotTheCurrentOne() {
        mFixture.configure(upstream(0, 4), upstream(1, 4));
        mFixture.arrive(true, false);
        DispatchAction.StartAttempt first = mFixture.lastStart();
        mFixture.end(first, AttemptResult.NOT_CONNECTED, 0);
        mFixture.advance(Duration.ofSeconds(1));

        mFixture.end(first, AttemptResult.COMPLETED, 9);

        assertThat(mFixture.ofType(DispatchAction.Finish.class), is(empty()));
    }

    @Test
    void limitsRetriesToTheBudgetOfTheRoute() {
        mFixture.configure(upstream(0, 100), upstream(1, 100));
        for (int i = 0; i < 100; i++) {
            mFixture.arrive(true, false);
            mFixture.end(mFixture.lastStart(), AttemptResult.UPSTREAM_ERROR, 0);
            mFixture.advance(Duration.ofSeconds(20));
            DispatchAction.StartAttempt last = mFixture.lastStart();
            if (last.attempt() > 1) {
                mFixture.end(last, AttemptResult.COMPLETED, 1);
            }
        }

        int retries = mFixture.ofType(DispatchAction.Retry.class).size();
        assertThat("retries for 100 requests and a reserve of 10", retries, lessThanOrEqualTo(20));
    }

    @Test
    void givesALeavingUpstreamNoNewWorkAndMovesWhatCanBeResumed() {
        mFixture.configure(upstream(0, 8), upstream(1, 8));
        for (int i = 0; i < 4; i++) {
            mFixture.arrive(true, true);
        }
        mFixture.send(new DispatchEvent.UpstreamLeaving(new UpstreamId("u0")));
        mFixture.mActions.clear();
        mFixture.advance(Duration.ofMillis(10));
        mFixture.arrive(true, true);

        List<UpstreamId> used = mFixture.starts().stream().map(s -> s.upstream().id()).toList();
        assertThat(used, everyItem(is(new UpstreamId("u1"))));
        assertThat(used, hasSize(3));
    }

    @Test
    void finishesWorkThatCannotBeResumedAtALeavingUpstream() {
        mFixture.configure(upstream(0, 8));
        mFixture.arrive(false, false);
        mFixture.configure(upstream(0, 8, UpstreamState.LEAVING));

        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 3);

        assertThat(mFixture.ofType(DispatchAction.CancelAttempt.class), is(empty()));
        assertThat(mFixture.ofType(DispatchAction.Finish.class), hasSize(1));
    }

    @Test
    void sendsNothingToAnUpstreamThatReportsItIsLeaving() {
        mFixture.configure(upstream(0, 8));
        mFixture.send(
                new DispatchEvent.LoadReported(
                        new UpstreamId("u0"),
                        new LoadReport(0, 0, 8, new WeightVersion(1), "s", true, 0)));

        mFixture.arrive(true, true);

        assertThat(mFixture.refusals(), contains(RefusalReason.NO_UPSTREAM));
    }

    @Test
    void refusesAtOnceWhenTheQueueIsFull() {
        mFixture.configure(upstream(0, 1));
        for (int i = 0; i < 10; i++) {
            mFixture.arrive(true, false);
        }

        assertThat(mFixture.starts(), hasSize(1));
        assertThat(mFixture.refusals(), contains(RefusalReason.QUEUE_FULL));
    }

    @Test
    void endsRequestsAtTheirDeadlineAndSaysTruthfullyWhetherTheyMayHaveRun() {
        mFixture.configure(upstream(0, 1));
        mFixture.arrive(true, false);
        mFixture.arrive(true, false);

        mFixture.advance(Duration.ofSeconds(61));

        assertThat(mFixture.ofType(DispatchAction.CancelAttempt.class), hasSize(1));
        assertThat(
                mFixture.refusals(),
                contains(RefusalReason.DEADLINE_WHILE_RUNNING, RefusalReason.DEADLINE_IN_QUEUE));
    }

    @Test
    void servesLiveRequestsBeforeRolloutsUntilTheRolloutHasWaitedLong() {
        mFixture.configure(upstream(0, 1));
        mFixture.arrive(true, false);
        RequestId rollout = mFixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 0);
        RequestId live = mFixture.arrive(true, false);

        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 1);
        assertThat(mFixture.lastStart().request(), is(live));

        mFixture.advance(Duration.ofSeconds(31));
        mFixture.arrive(true, false);
        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 1);
        assertThat(mFixture.lastStart().request(), is(rollout));
    }

    @Test
    void servesTheTrainerThatIsFurthestBehindFirstWithinATeam() {
        mFixture.configure(upstream(0, 1));
        mFixture.arrive(true, false);
        mFixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 1);
        RequestId behind = mFixture.arrive(DispatchFixture.TEAM, true, true, Priority.ROLLOUT, 9);

        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 1);

        assertThat(mFixture.lastStart().request(), is(behind));
    }

    @Test
    void alternatesBetweenTeamsWhateverTheLengthOfTheirQueues() {
        TeamName small = new TeamName("small");
        mFixture.configure(upstream(0, 1));
        for (int i = 0; i < 7; i++) {
            mFixture.arrive(true, false);
        }
        RequestId other = mFixture.arrive(small, true, false, Priority.LIVE, 0);

        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 50);

        assertThat(mFixture.lastStart().request(), is(other));
    }

    @Test
    void ejectsAFailingUpstreamButNeverMoreThanHalfOfThePool() {
        mFixture.configure(upstream(0, 8), upstream(1, 8));
        for (int i = 0; i < 12; i++) {
            mFixture.arrive(false, false);
            mFixture.end(mFixture.lastStart(), AttemptResult.CONNECTION_LOST, 0);
        }
        mFixture.mActions.clear();
        for (int i = 0; i < 6; i++) {
            mFixture.arrive(false, false);
            mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 1);
        }

        long used = mFixture.starts().stream().map(s -> s.upstream().id()).distinct().count();
        assertThat(mFixture.starts(), hasSize(6));
        assertThat(used, is(1L));
    }

    @Test
    void cancelsTheWorkOfACallerThatLeft() {
        mFixture.configure(upstream(0, 1));
        RequestId id = mFixture.arrive(true, false);

        mFixture.send(new DispatchEvent.RequestCancelled(id));

        assertThat(
                mFixture.ofType(DispatchAction.CancelAttempt.class),
                contains(new DispatchAction.CancelAttempt(id, 1)));
    }

    @Test
    void drainsByRefusingTheQueueAndFinishingWhatRuns() {
        mFixture.configure(upstream(0, 1));
        mFixture.arrive(true, false);
        mFixture.arrive(true, false);
        mFixture.send(new DispatchEvent.DrainStarted());
        assertThat(mFixture.refusals(), contains(RefusalReason.DRAINING));
        assertThat(mFixture.ofType(DispatchAction.Drained.class), is(empty()));

        mFixture.end(mFixture.lastStart(), AttemptResult.COMPLETED, 1);

        assertThat(mFixture.ofType(DispatchAction.Drained.class), hasSize(1));
    }
}

package org.fuchsialever.decisions.intent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.fuchsialever.decisions.intent.IntentSimulation.Effect;
import org.fuchsialever.decisions.intent.IntentSimulation.Holder;
import org.fuchsialever.decisions.intent.IntentSimulation.Step;
import org.fuchsialever.decisions.intent.IntentSimulation.TestCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against commands of a previous holder that take effect after those of its successor. */
class IntentMachineTest {
    private static final long SECOND = IntentSimulation.SECOND;

    private static TestCommand command(String target, int value, boolean enforced) {
        return new TestCommand(target, "platform", value, enforced);
    }

    /** Fails if a receiver executed a command of a previous holder after one of a later holder. */
    private static void assertNoEffectAfterASuccessor(IntentSimulation simulation) {
        Map<String, Long> highest = new HashMap<>();
        for (Effect effect : simulation.mEffects) {
            String receiver = effect.intent().command().receiver();
            long before = highest.merge(receiver, effect.fencing(), Math::max);
            assertThat("fencing after " + before, effect.fencing(), equalTo(before));
        }
    }

    @ParameterizedTest
    @EnumSource(Step.class)
    void noOrderOfAPausedHolderFollowsItsSuccessorWhereFencingIsIgnored(Step step) {
        pauseAndTakeOver(step, false);
    }

    @ParameterizedTest
    @EnumSource(Step.class)
    void noOrderOfAPausedHolderFollowsItsSuccessorWhereFencingIsEnforced(Step step) {
        pauseAndTakeOver(step, true);
    }

    private static void pauseAndTakeOver(Step step, boolean enforced) {
        // The holder resumes before, around and after the end of the successor's quiet period.
        for (long pause : new long[] {3, 6, 9, 12, 15, 18, 25, 40}) {
            IntentSimulation simulation = new IntentSimulation(pause);
            Holder first = simulation.addHolder();
            simulation.keepLease();
            simulation.runFor(SECOND);
            Holder second = simulation.addHolder();
            first.mPauseAt = Option.some(step);
            first.mPauseNanos = pause * SECOND;
            first.propose(command("a", 1, enforced));
            simulation.runFor(8 * SECOND);
            if (second.mMachine.isReady()) {
                second.propose(command("b", 2, enforced));
                if (!second.mMachine.hasOpenIntent("a")) {
                    second.propose(command("a", 3, enforced));
                }
            }
            simulation.runFor(90 * SECOND);
            assertNoEffectAfterASuccessor(simulation);
            assertThat(simulation.mJournal.openIntents(), is(empty()));
            if (second.mMachine.isReady()) {
                assertThat("pause " + pause, values(simulation).contains(2), is(true));
            } else {
                assertThat("pause " + pause, values(simulation), contains(1));
            }
        }
    }

    private static Set<Integer> values(IntentSimulation simulation) {
        Set<Integer> values = new TreeSet<>();
        simulation.mEffects.forEach(effect -> values.add(effect.intent().command().value()));
        return values;
    }

    @Test
    void aSuccessorCompletesAnOpenIntentWithTheSameIdentityAfterTheReceiverTimeout() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder first = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        Holder second = simulation.addHolder();
        first.mPauseAt = Option.some(Step.READ_COMMAND_RESULT);
        first.mPauseNanos = 300 * SECOND;
        first.propose(command("a", 1, false));
        simulation.runFor(60 * SECOND);
        assertThat(simulation.mEffects.size(), equalTo(2));
        Effect repeat = simulation.mEffects.get(1);
        assertThat(repeat.intent(), equalTo(simulation.mEffects.get(0).intent()));
        assertThat(repeat.holder(), equalTo(second.mNumber));
        assertThat(repeat.fencing(), equalTo(2L));
        assertThat(
                repeat.at() - simulation.mEffects.get(0).at(),
                greaterThanOrEqualTo(IntentSimulation.RECEIVER_TIMEOUT_NANOS));
    }

    @Test
    void aSuccessorWithoutOpenIntentsActsAtOnce() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder first = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        Holder second = simulation.addHolder();
        first.pause(300 * SECOND);
        while (!second.mMachine.isReady()) {
            simulation.runFor(SECOND / 10);
        }
        long proposedAt = simulation.now();
        second.propose(command("a", 1, false));
        simulation.runFor(SECOND);
        assertThat(simulation.mEffects.get(0).at() - proposedAt, lessThan(SECOND));
    }

    @Test
    void aSuccessorSendsToAReceiverThatEnforcesFencingWithoutWaiting() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder first = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        simulation.addHolder();
        first.mPauseAt = Option.some(Step.SEND_COMMAND);
        first.mPauseNanos = 8 * SECOND;
        first.propose(command("a", 1, true));
        simulation.runFor(7 * SECOND);
        assertThat(simulation.mEffects.stream().map(Effect::fencing).toList(), contains(2L));
        simulation.runFor(20 * SECOND);
        assertThat(simulation.mEffects.stream().map(Effect::fencing).toList(), contains(2L));
    }

    @Test
    void aStaleReadOfTheJournalHidesNoOpenIntent() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder first = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        Holder second = simulation.addHolder();
        first.mPauseAt = Option.some(Step.CONNECT);
        first.mPauseNanos = 300 * SECOND;
        first.propose(command("a", 1, false));
        simulation.mStaleReads = true;
        simulation.runFor(8 * SECOND);
        assertThat(second.mMachine.isReady(), is(true));
        assertThat(second.mMachine.hasOpenIntent("a"), is(true));
    }

    @Test
    void anOrderWithoutAnAnswerIsRepeatedAndItsTargetStaysBusyUntilNothingIsInTransit() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder holder = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        holder.propose(command("a", 1, false));
        simulation.runFor(SECOND / 100 + 1);
        simulation.mLossProbability = 1;
        simulation.runFor(SECOND / 10);
        simulation.mLossProbability = 0;
        simulation.runFor(5 * SECOND);
        assertThat(values(simulation), contains(1));
        assertThat(holder.mMachine.hasOpenIntent("a"), is(true));
        simulation.runFor(10 * SECOND);
        assertThat(holder.mMachine.hasOpenIntent("a"), is(false));
    }

    @Test
    void anAbandonedIntentThatMayBeInTransitIsKeptUntilItCannotBe() {
        IntentSimulation simulation = new IntentSimulation(1);
        Holder first = simulation.addHolder();
        simulation.keepLease();
        simulation.runFor(SECOND);
        Holder second = simulation.addHolder();
        first.mPauseAt = Option.some(Step.SEND_COMMAND);
        first.mPauseNanos = 300 * SECOND;
        first.propose(command("a", 1, true));
        // The successor acquires the lease 5 s after the last renewal by the first holder.
        simulation.runFor(5 * SECOND);
        while (!second.mMachine.isReady()) {
            simulation.runFor(1_000_000);
        }
        long readyAt = simulation.now();
        simulation.mLossProbability = 1;
        simulation.runFor(SECOND);
        second.mMachine.abandon("a");
        simulation.mLossProbability = 0;
        simulation.runFor(SECOND);
        assertThat(second.mMachine.hasOpenIntent("a"), is(true));
        simulation.runFor(20 * SECOND);
        assertThat(second.mMachine.hasOpenIntent("a"), is(false));
        assertThat(
                simulation.now() - readyAt,
                greaterThanOrEqualTo(IntentSimulation.RECEIVER_TIMEOUT_NANOS));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomPausesAndLostAnswersBreakNoRuleAndLoseNoIntent(long seed) {
        for (long run = 0; run < 25; run++) {
            IntentSimulation simulation = new IntentSimulation(seed * 1_000 + run);
            simulation.mLossProbability = 0.15;
            for (int i = 0; i < 3; i++) {
                simulation.addHolder();
            }
            simulation.keepLease();
            for (int round = 0; round < 120; round++) {
                disturb(simulation, round);
                simulation.runFor(simulation.mRandom.nextLong(2 * SECOND));
            }
            simulation.mLossProbability = 0;
            simulation.mStaleReads = false;
            simulation.mHolders.forEach(holder -> holder.mPauseAt = Option.none());
            simulation.runFor(120 * SECOND);
            assertNoEffectAfterASuccessor(simulation);
            assertThat(simulation.mJournal.openIntents(), is(empty()));
            assertCompletedIntentsTookEffect(simulation);
            assertNewIntentsAreCarriedOutAtOnce(simulation);
        }
    }

    private static void disturb(IntentSimulation simulation, int round) {
        Holder holder = simulation.mHolders.get(simulation.mRandom.nextInt(3));
        if (simulation.mRandom.nextInt(6) == 0) {
            holder.mPauseAt =
                    Option.some(Step.values()[simulation.mRandom.nextInt(Step.values().length)]);
            holder.mPauseNanos = simulation.mRandom.nextLong(25 * SECOND);
        }
        simulation.mStaleReads = simulation.mRandom.nextInt(3) == 0;
        for (Holder each : simulation.mHolders) {
            String target = "t" + simulation.mRandom.nextInt(4);
            if (each.isRunning()
                    && each.mMachine.isReady()
                    && !each.mMachine.hasOpenIntent(target)) {
                boolean enforced = target.equals("t0") || target.equals("t1");
                each.propose(
                        new TestCommand(target, enforced ? target : "platform", round, enforced));
            }
        }
    }

    private static void assertCompletedIntentsTookEffect(IntentSimulation simulation) {
        List<String> effective =
                simulation.mEffects.stream().map(effect -> effect.intent().id()).toList();
        for (Holder holder : simulation.mHolders) {
            for (Intent<TestCommand> intent : holder.mCompleted) {
                assertThat(effective.contains(intent.id()), is(true));
            }
        }
    }

    /** Checks progress: a machine that is stuck would pass the checks of ordering. */
    private static void assertNewIntentsAreCarriedOutAtOnce(IntentSimulation simulation) {
        Holder holder = simulation.leaseHolder();
        for (int i = 0; i < 4; i++) {
            holder.propose(new TestCommand("t" + i, "platform", 1_000 + i, i < 2));
        }
        simulation.runFor(SECOND);
        assertThat(values(simulation).containsAll(Set.of(1_000, 1_001, 1_002, 1_003)), is(true));
        assertThat(holder.mMachine.hasOpenIntent("t0"), is(false));
    }
}

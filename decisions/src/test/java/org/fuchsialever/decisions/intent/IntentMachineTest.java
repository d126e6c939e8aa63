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
import org.fuchsialever.decisions.intent.IntentWorld.Effect;
import org.fuchsialever.decisions.intent.IntentWorld.Holder;
import org.fuchsialever.decisions.intent.IntentWorld.Step;
import org.fuchsialever.decisions.intent.IntentWorld.TestCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against orders of a former holder that take effect after those of its successor. */
class IntentMachineTest {
    private static final long SECOND = IntentWorld.SECOND;

    private static TestCommand command(String target, int value, boolean enforced) {
        return new TestCommand(target, "platform", value, enforced);
    }

    /** Fails if an effect of a former holder follows one of a later holder at a receiver. */
    private static void assertNoEffectAfterASuccessor(IntentWorld world) {
        Map<String, Long> highest = new HashMap<>();
        for (Effect effect : world.effects) {
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
        // The holder resumes before, around and after the end of the successor's waiting time.
        for (long pause : new long[] {3, 6, 9, 12, 15, 18, 25, 40}) {
            IntentWorld world = new IntentWorld(pause);
            Holder first = world.addHolder();
            world.keepLease();
            world.runFor(SECOND);
            Holder second = world.addHolder();
            first.pauseAt = Option.some(step);
            first.pauseNanos = pause * SECOND;
            first.propose(command("a", 1, enforced));
            world.runFor(8 * SECOND);
            if (second.machine.isReady()) {
                second.propose(command("b", 2, enforced));
                if (!second.machine.hasOpenIntent("a")) {
                    second.propose(command("a", 3, enforced));
                }
            }
            world.runFor(90 * SECOND);
            assertNoEffectAfterASuccessor(world);
            assertThat(world.journal.openIntents(), is(empty()));
            if (second.machine.isReady()) {
                assertThat("pause " + pause, values(world).contains(2), is(true));
            } else {
                assertThat("pause " + pause, values(world), contains(1));
            }
        }
    }

    private static Set<Integer> values(IntentWorld world) {
        Set<Integer> values = new TreeSet<>();
        world.effects.forEach(effect -> values.add(effect.intent().command().value()));
        return values;
    }

    @Test
    void aSuccessorCompletesAnOpenIntentWithTheSameIdentityAfterTheReceiverTimeout() {
        IntentWorld world = new IntentWorld(1);
        Holder first = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        Holder second = world.addHolder();
        first.pauseAt = Option.some(Step.READ_ORDER_ANSWER);
        first.pauseNanos = 300 * SECOND;
        first.propose(command("a", 1, false));
        world.runFor(60 * SECOND);
        assertThat(world.effects.size(), equalTo(2));
        Effect repeat = world.effects.get(1);
        assertThat(repeat.intent(), equalTo(world.effects.get(0).intent()));
        assertThat(repeat.holder(), equalTo(second.number));
        assertThat(repeat.fencing(), equalTo(2L));
        assertThat(
                repeat.at() - world.effects.get(0).at(),
                greaterThanOrEqualTo(IntentWorld.RECEIVER_TIMEOUT));
    }

    @Test
    void aSuccessorWithoutOpenIntentsActsAtOnce() {
        IntentWorld world = new IntentWorld(1);
        Holder first = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        Holder second = world.addHolder();
        first.pause(300 * SECOND);
        while (!second.machine.isReady()) {
            world.runFor(SECOND / 10);
        }
        long proposedAt = world.now();
        second.propose(command("a", 1, false));
        world.runFor(SECOND);
        assertThat(world.effects.get(0).at() - proposedAt, lessThan(SECOND));
    }

    @Test
    void aSuccessorSendsToAReceiverThatEnforcesFencingWithoutWaiting() {
        IntentWorld world = new IntentWorld(1);
        Holder first = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        world.addHolder();
        first.pauseAt = Option.some(Step.WRITE_ORDER);
        first.pauseNanos = 8 * SECOND;
        first.propose(command("a", 1, true));
        world.runFor(7 * SECOND);
        assertThat(world.effects.stream().map(Effect::fencing).toList(), contains(2L));
        world.runFor(20 * SECOND);
        assertThat(world.effects.stream().map(Effect::fencing).toList(), contains(2L));
    }

    @Test
    void aStaleReadOfTheJournalHidesNoOpenIntent() {
        IntentWorld world = new IntentWorld(1);
        Holder first = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        Holder second = world.addHolder();
        first.pauseAt = Option.some(Step.CONNECT);
        first.pauseNanos = 300 * SECOND;
        first.propose(command("a", 1, false));
        world.staleReads = true;
        world.runFor(8 * SECOND);
        assertThat(second.machine.isReady(), is(true));
        assertThat(second.machine.hasOpenIntent("a"), is(true));
    }

    @Test
    void anOrderWithoutAnAnswerIsRepeatedAndItsTargetStaysBusyUntilNothingIsInTransit() {
        IntentWorld world = new IntentWorld(1);
        Holder holder = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        holder.propose(command("a", 1, false));
        world.runFor(SECOND / 100 + 1);
        world.loss = 1;
        world.runFor(SECOND / 10);
        world.loss = 0;
        world.runFor(5 * SECOND);
        assertThat(values(world), contains(1));
        assertThat(holder.machine.hasOpenIntent("a"), is(true));
        world.runFor(10 * SECOND);
        assertThat(holder.machine.hasOpenIntent("a"), is(false));
    }

    @Test
    void anAbandonedIntentThatMayBeInTransitIsKeptUntilItCannotBe() {
        IntentWorld world = new IntentWorld(1);
        Holder first = world.addHolder();
        world.keepLease();
        world.runFor(SECOND);
        Holder second = world.addHolder();
        first.pauseAt = Option.some(Step.WRITE_ORDER);
        first.pauseNanos = 300 * SECOND;
        first.propose(command("a", 1, true));
        // The successor gains the lease 5 s after the last renewal of the first holder.
        world.runFor(5 * SECOND);
        while (!second.machine.isReady()) {
            world.runFor(1_000_000);
        }
        long readyAt = world.now();
        world.loss = 1;
        world.runFor(SECOND);
        second.machine.abandon("a");
        world.loss = 0;
        world.runFor(SECOND);
        assertThat(second.machine.hasOpenIntent("a"), is(true));
        world.runFor(20 * SECOND);
        assertThat(second.machine.hasOpenIntent("a"), is(false));
        assertThat(world.now() - readyAt, greaterThanOrEqualTo(IntentWorld.RECEIVER_TIMEOUT));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomPausesAndLostAnswersBreakNoRuleAndLoseNoIntent(long seed) {
        for (long run = 0; run < 25; run++) {
            IntentWorld world = new IntentWorld(seed * 1_000 + run);
            world.loss = 0.15;
            for (int i = 0; i < 3; i++) {
                world.addHolder();
            }
            world.keepLease();
            for (int round = 0; round < 120; round++) {
                disturb(world, round);
                world.runFor(world.random.nextLong(2 * SECOND));
            }
            world.loss = 0;
            world.staleReads = false;
            world.holders.forEach(holder -> holder.pauseAt = Option.none());
            world.runFor(120 * SECOND);
            assertNoEffectAfterASuccessor(world);
            assertThat(world.journal.openIntents(), is(empty()));
            assertCompletedIntentsTookEffect(world);
            assertNewIntentsAreCarriedOutAtOnce(world);
        }
    }

    private static void disturb(IntentWorld world, int round) {
        Holder holder = world.holders.get(world.random.nextInt(3));
        if (world.random.nextInt(6) == 0) {
            holder.pauseAt = Option.some(Step.values()[world.random.nextInt(Step.values().length)]);
            holder.pauseNanos = world.random.nextLong(25 * SECOND);
        }
        world.staleReads = world.random.nextInt(3) == 0;
        for (Holder each : world.holders) {
            String target = "t" + world.random.nextInt(4);
            if (each.runs() && each.machine.isReady() && !each.machine.hasOpenIntent(target)) {
                boolean enforced = target.equals("t0") || target.equals("t1");
                each.propose(
                        new TestCommand(target, enforced ? target : "platform", round, enforced));
            }
        }
    }

    private static void assertCompletedIntentsTookEffect(IntentWorld world) {
        List<String> effective =
                world.effects.stream().map(effect -> effect.intent().id()).toList();
        for (Holder holder : world.holders) {
            for (Intent<TestCommand> intent : holder.completed) {
                assertThat(effective.contains(intent.id()), is(true));
            }
        }
    }

    /** Guards against a machine that keeps every rule because it is stuck. */
    private static void assertNewIntentsAreCarriedOutAtOnce(IntentWorld world) {
        Holder holder = world.leaseHolder();
        for (int i = 0; i < 4; i++) {
            holder.propose(new TestCommand("t" + i, "platform", 1_000 + i, i < 2));
        }
        world.runFor(SECOND);
        assertThat(values(world).containsAll(Set.of(1_000, 1_001, 1_002, 1_003)), is(true));
        assertThat(holder.machine.hasOpenIntent("t0"), is(false));
    }
}

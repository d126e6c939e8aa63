package org.fuchsialever.decisions.samples;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against lost, doubled, stale and partial groups of samples under failures. */
class RolloutDutyTest {
    private static final int SEEDS = 150;
    private static final int HELD_LIMIT = 12;

    @Test
    void deliversEverySampleOnceWhenTheInstanceDiesAtAnyAction() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 3, 3));
        for (int run = 0; run < 10; run++) {
            int action = 0;
            boolean died = true;
            while (died) {
                action++;
                RolloutSimulation world = new RolloutSimulation(run, StragglerPolicy.NONE);
                world.crashAtAction = action;
                world.crashBeforeAction = run % 2 == 0;
                steps.forEach(world::submit);
                world.runUntil(9, 120);
                world.assertEverySampleExactlyOnce(steps);
                died = world.actionCount >= action;
            }
            assertThat("an undisturbed run has more actions", action, greaterThan(30));
        }
    }

    @Test
    void deliversEverySampleOnceWithLostAnswersOutagesAndMovingLeases() {
        int replaced = 0;
        int dropped = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom faults = new SplittableRandom(seed);
            RolloutSimulation world = new RolloutSimulation(seed, policy(seed));
            world.responseLossPercent = 20;
            List<Submission> steps = new ArrayList<>();
            for (long step = 1; step <= 3; step++) {
                steps.add(RolloutSimulation.submission(step, 4, 5));
                world.submit(steps.get(steps.size() - 1));
                world.runUntil(60, faults.nextInt(3));
                Fault.values()[faults.nextInt(Fault.values().length)].inject(world);
            }
            world.runUntil(60, 600);
            world.assertEverySampleExactlyOnce(steps);
            replaced += world.counters.getOrDefault(RolloutCounter.REPLACED_STALE, 0);
            dropped += world.counters.getOrDefault(RolloutCounter.DROPPED, 0);
        }
        assertThat("stale samples were replaced", replaced, greaterThan(0));
        assertThat("late and doubled results were dropped", dropped, greaterThan(0));
    }

    /**
     * Guards against objects, commits and attempts that have the same names in two holdings of one
     * lease: a sample was then delivered with the stored body of another one.
     */
    @Test
    void deliversEverySampleWithItsOwnBodyWhenAnExpiredLeaseIsRenewed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            RolloutSimulation world = new RolloutSimulation(seed, policy(seed));
            List<Submission> steps = new ArrayList<>();
            for (long step = 1; step <= 3; step++) {
                steps.add(RolloutSimulation.submission(step, 4, 5));
                world.submit(steps.get(steps.size() - 1));
                world.runUntil(60, 1);
                world.loseAndRegainLease();
            }
            world.runUntil(60, 600);
            world.assertEverySampleExactlyOnce(steps);
        }
    }

    @Test
    void holdsNoMoreSamplesThanTheLimitDuringAnOutageAndGoesOnAfterIt() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 10, 5));
        RolloutSimulation world = new RolloutSimulation(7, StragglerPolicy.NONE);
        steps.forEach(world::submit);
        world.runUntil(1, 5);
        world.outage = true;
        world.runUntil(50, 3_600);
        assertThat("nothing is delivered before it is fixed", world.received.size(), is(not(50)));
        int retries =
                world.counters.getOrDefault(RolloutCounter.STORE_RETRIED, 0)
                        + world.counters.getOrDefault(RolloutCounter.COMMIT_RETRIED, 0);
        assertThat(world.maxHeld, lessThanOrEqualTo(HELD_LIMIT));

        world.outage = false;
        world.runUntil(50, 60);

        world.assertEverySampleExactlyOnce(steps);
        assertThat(
                "at most two writes are retried, every 0.5 s", retries, lessThanOrEqualTo(14_400));
    }

    @Test
    void replacesFixedSamplesThatBecomeStaleBeforeTheyAreDelivered() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 4, 4));
        int replaced = 0;
        for (long seed = 0; seed < 20; seed++) {
            RolloutSimulation world = new RolloutSimulation(seed, StragglerPolicy.NONE);
            steps.forEach(world::submit);
            world.runUntil(4, 10);
            world.publishNewWeights();
            world.publishNewWeights();
            world.runUntil(16, 60);
            world.assertEverySampleExactlyOnce(steps);
            replaced += world.counters.getOrDefault(RolloutCounter.REPLACED_STALE, 0);
        }
        assertThat(replaced, greaterThan(0));
    }

    @Test
    void recognisesItsOwnCommitAfterALostAnswer() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 4, 4));
        RolloutSimulation world = new RolloutSimulation(11, StragglerPolicy.NONE);
        world.responseLossPercent = 50;
        steps.forEach(world::submit);
        world.runUntil(16, 60);

        world.assertEverySampleExactlyOnce(steps);
        assertThat(world.counters.getOrDefault(RolloutCounter.COMMIT_RETRIED, 0), greaterThan(0));
        assertThat(world.counters.getOrDefault(RolloutCounter.COMMIT_CONFLICTED, 0), is(0));
    }

    @Test
    void deliversOnlyWholeGroups() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 3, 4));
        RolloutSimulation world = new RolloutSimulation(3, StragglerPolicy.NONE);
        steps.forEach(world::submit);
        world.runUntil(12, 60);

        List<SampleId> order = List.copyOf(world.received.values());
        for (int first = 0; first < order.size(); first += 4) {
            String group = order.get(first).group();
            assertThat(
                    order.subList(first, first + 4).stream()
                            .allMatch(id -> id.group().equals(group)),
                    is(true));
        }
    }

    @Test
    void startsLateSamplesTwiceWithinTheBudget() {
        int duplicated = 0;
        for (long seed = 0; seed < 20; seed++) {
            RolloutSimulation world = new RolloutSimulation(seed, StragglerPolicy.DUPLICATE_LATE);
            List<Submission> steps = List.of(RolloutSimulation.submission(1, 20, 5));
            steps.forEach(world::submit);
            world.runUntil(100, 600);
            world.assertEverySampleExactlyOnce(steps);
            int count = world.counters.getOrDefault(RolloutCounter.DUPLICATED, 0);
            assertThat(count, lessThanOrEqualTo(4));
            duplicated += count;
        }
        assertThat(duplicated, greaterThan(0));
    }

    private static StragglerPolicy policy(long seed) {
        return StragglerPolicy.values()[(int) (seed % StragglerPolicy.values().length)];
    }

    /** What happens to the world between two steps. */
    private enum Fault {
        CRASH {
            @Override
            void inject(RolloutSimulation world) {
                world.crashHolder();
            }
        },
        LEASE_MOVES_TWICE {
            @Override
            void inject(RolloutSimulation world) {
                world.moveLease();
                world.runUntil(60, 1);
                world.moveLease();
            }
        },
        NEW_WEIGHTS {
            @Override
            void inject(RolloutSimulation world) {
                world.publishNewWeights();
                world.runUntil(60, 1);
                world.publishNewWeights();
            }
        },
        OUTAGE_WITH_CRASH {
            @Override
            void inject(RolloutSimulation world) {
                world.outage = true;
                world.runUntil(60, 30);
                world.crashHolder();
                world.outage = false;
            }
        };

        abstract void inject(RolloutSimulation world);
    }
}

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

/** Guards against lost, duplicated and stale samples and incomplete groups under failures. */
class RolloutDutyTest {
    private static final int SEEDS = 150;
    private static final int HELD_LIMIT = 12;

    @Test
    void deliversEverySampleOnceWhenTheInstanceDiesAtAnyAction() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 3, 3));
        for (int run = 0; run < 10; run++) {
            int action = 0;
            boolean crashed = true;
            while (crashed) {
                action++;
                RolloutSimulation simulation = new RolloutSimulation(run, StragglerPolicy.NONE);
                simulation.mCrashAtAction = action;
                simulation.mCrashBeforeAction = run % 2 == 0;
                steps.forEach(simulation::submit);
                simulation.runUntil(9, 120);
                simulation.assertEverySampleExactlyOnce(steps);
                crashed = simulation.mActionCount >= action;
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
            RolloutSimulation simulation = new RolloutSimulation(seed, policy(seed));
            simulation.mResponseLossPercent = 20;
            List<Submission> steps = new ArrayList<>();
            for (long step = 1; step <= 3; step++) {
                steps.add(RolloutSimulation.submission(step, 4, 5));
                simulation.submit(steps.get(steps.size() - 1));
                simulation.runUntil(60, faults.nextInt(3));
                Fault.values()[faults.nextInt(Fault.values().length)].inject(simulation);
            }
            simulation.runUntil(60, 600);
            simulation.assertEverySampleExactlyOnce(steps);
            replaced += simulation.mCounters.getOrDefault(RolloutCounter.REPLACED_STALE, 0);
            dropped += simulation.mCounters.getOrDefault(RolloutCounter.DROPPED, 0);
        }
        assertThat("stale samples were replaced", replaced, greaterThan(0));
        assertThat("late and doubled results were dropped", dropped, greaterThan(0));
    }

    /**
     * Guards against objects, commits and attempts with the same IDs in two tenures of one lease. A
     * sample was then delivered with the stored body of another sample.
     */
    @Test
    void deliversEverySampleWithItsOwnBodyWhenAnExpiredLeaseIsRenewed() {
        for (long seed = 0; seed < SEEDS; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, policy(seed));
            List<Submission> steps = new ArrayList<>();
            for (long step = 1; step <= 3; step++) {
                steps.add(RolloutSimulation.submission(step, 4, 5));
                simulation.submit(steps.get(steps.size() - 1));
                simulation.runUntil(60, 1);
                simulation.loseAndRegainLease();
            }
            simulation.runUntil(60, 600);
            simulation.assertEverySampleExactlyOnce(steps);
        }
    }

    @Test
    void holdsNoMoreSamplesThanTheLimitDuringAnOutageAndGoesOnAfterIt() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 10, 5));
        RolloutSimulation simulation = new RolloutSimulation(7, StragglerPolicy.NONE);
        steps.forEach(simulation::submit);
        simulation.runUntil(1, 5);
        simulation.mOutage = true;
        simulation.runUntil(50, 3_600);
        assertThat(
                "nothing is delivered before it is fixed",
                simulation.mReceived.size(),
                is(not(50)));
        int retries =
                simulation.mCounters.getOrDefault(RolloutCounter.STORE_RETRIED, 0)
                        + simulation.mCounters.getOrDefault(RolloutCounter.COMMIT_RETRIED, 0);
        assertThat(simulation.mMaxHeld, lessThanOrEqualTo(HELD_LIMIT));

        simulation.mOutage = false;
        simulation.runUntil(50, 60);

        simulation.assertEverySampleExactlyOnce(steps);
        assertThat(
                "at most two writes are retried, every 0.5 s", retries, lessThanOrEqualTo(14_400));
    }

    @Test
    void replacesFixedSamplesThatBecomeStaleBeforeTheyAreDelivered() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 4, 4));
        int replaced = 0;
        for (long seed = 0; seed < 20; seed++) {
            RolloutSimulation simulation = new RolloutSimulation(seed, StragglerPolicy.NONE);
            steps.forEach(simulation::submit);
            simulation.runUntil(4, 10);
            simulation.publishNewWeights();
            simulation.publishNewWeights();
            simulation.runUntil(16, 60);
            simulation.assertEverySampleExactlyOnce(steps);
            replaced += simulation.mCounters.getOrDefault(RolloutCounter.REPLACED_STALE, 0);
        }
        assertThat(replaced, greaterThan(0));
    }

    @Test
    void recognisesItsOwnCommitAfterALostAnswer() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 4, 4));
        RolloutSimulation simulation = new RolloutSimulation(11, StragglerPolicy.NONE);
        simulation.mResponseLossPercent = 50;
        steps.forEach(simulation::submit);
        simulation.runUntil(16, 60);

        simulation.assertEverySampleExactlyOnce(steps);
        assertThat(
                simulation.mCounters.getOrDefault(RolloutCounter.COMMIT_RETRIED, 0),
                greaterThan(0));
        assertThat(simulation.mCounters.getOrDefault(RolloutCounter.COMMIT_CONFLICTED, 0), is(0));
    }

    @Test
    void deliversOnlyWholeGroups() {
        List<Submission> steps = List.of(RolloutSimulation.submission(1, 3, 4));
        RolloutSimulation simulation = new RolloutSimulation(3, StragglerPolicy.NONE);
        steps.forEach(simulation::submit);
        simulation.runUntil(12, 60);

        List<SampleId> order = List.copyOf(simulation.mReceived.values());
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
            RolloutSimulation simulation =
                    new RolloutSimulation(seed, StragglerPolicy.DUPLICATE_LATE);
            List<Submission> steps = List.of(RolloutSimulation.submission(1, 20, 5));
            steps.forEach(simulation::submit);
            simulation.runUntil(100, 600);
            simulation.assertEverySampleExactlyOnce(steps);
            int count = simulation.mCounters.getOrDefault(RolloutCounter.DUPLICATED, 0);
            assertThat(count, lessThanOrEqualTo(4));
            duplicated += count;
        }
        assertThat(duplicated, greaterThan(0));
    }

    private static StragglerPolicy policy(long seed) {
        return StragglerPolicy.values()[(int) (seed % StragglerPolicy.values().length)];
    }

    /** Faults injected between two steps. */
    private enum Fault {
        CRASH {
            @Override
            void inject(RolloutSimulation simulation) {
                simulation.crashHolder();
            }
        },
        LEASE_MOVES_TWICE {
            @Override
            void inject(RolloutSimulation simulation) {
                simulation.moveLease();
                simulation.runUntil(60, 1);
                simulation.moveLease();
            }
        },
        NEW_WEIGHTS {
            @Override
            void inject(RolloutSimulation simulation) {
                simulation.publishNewWeights();
                simulation.runUntil(60, 1);
                simulation.publishNewWeights();
            }
        },
        OUTAGE_WITH_CRASH {
            @Override
            void inject(RolloutSimulation simulation) {
                simulation.mOutage = true;
                simulation.runUntil(60, 30);
                simulation.crashHolder();
                simulation.mOutage = false;
            }
        };

        abstract void inject(RolloutSimulation simulation);
    }
}

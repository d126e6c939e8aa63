package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.junit.jupiter.api.Test;

/**
 * Runs steps of each model on the engines of its share, at a load that all engines together could
 * serve, and compares how long the last steps take.
 */
class EngineSharesLoadTest {
    private static final int SLOTS = 6;
    private static final int SEEDS = 20;
    private static final int STEPS = 10;
    private static final double INTERVAL_SECONDS = 4;

    /** Part of the capacity of all engines that the steps take. */
    private static final double UTILIZATION = 0.85;

    /** Items of a step and mean tokens of an item. */
    private record Step(int items, double tokens) {}

    @Test
    void keepsUpWithEachTrainerWhereDemandDiffers() {
        Map<String, Step> steps =
                Map.of(
                        "handwriting", new Step(80, 8),
                        "tally", new Step(72, 20),
                        "doubt", new Step(64, 21),
                        "notice", new Step(56, 14.5));
        double equal = slowestLastStep(steps, engines(31), Map.of(), EngineAssignment.EQUAL);
        double need = slowestLastStep(steps, engines(31), Map.of(), EngineAssignment.NEED);
        assertThat(need, is(lessThan(0.75 * equal)));
    }

    @Test
    void keepsUpWithEachTrainerWhereSpeedsOfEnginesDiffer() {
        Map<String, Step> steps =
                Map.of(
                        "menu", new Step(96, 19),
                        "diet", new Step(104, 18),
                        "allergen", new Step(48, 16));
        Map<String, Double> speeds = new HashMap<>();
        for (int i = 0; i < 24; i++) {
            speeds.put("e" + i, i % 3 == 2 ? 1.7 : 0.7);
        }
        double equal = slowestLastStep(steps, engines(24), speeds, EngineAssignment.EQUAL);
        double need = slowestLastStep(steps, engines(24), speeds, EngineAssignment.NEED);
        assertThat(need, is(lessThan(0.75 * equal)));
    }

    private static double slowestLastStep(
            Map<String, Step> steps,
            List<FleetUpstream> engines,
            Map<String, Double> speeds,
            EngineAssignment assignment) {
        List<String> models = steps.keySet().stream().sorted().toList();
        Map<String, Double> demand = new HashMap<>();
        steps.forEach((model, step) -> demand.put(model, step.items * step.tokens));
        Map<String, List<FleetUpstream>> assigned =
                assignment.goesByNeed(false)
                        ? new EngineShares()
                                .assign(
                                        new ShareInputs(
                                                models, demand, engines, speeds, Map.of(),
                                                Map.of()),
                                        0)
                        : VersionPlanner.assign(models, engines);
        double capacity =
                SLOTS
                        * engines.stream()
                                .mapToDouble(engine -> speeds.getOrDefault(engine.id(), 1.0))
                                .sum();
        double tokens = demand.values().stream().mapToDouble(each -> each).sum();
        double tokenSeconds = UTILIZATION * capacity * INTERVAL_SECONDS / tokens;
        double sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double slowest = 0;
            for (String model : models) {
                Step step = steps.getOrDefault(model, new Step(0, 0));
                List<FleetUpstream> own = assigned.getOrDefault(model, List.of());
                slowest = Math.max(slowest, lastStep(step, tokenSeconds, own, speeds, random));
            }
            sum += slowest;
        }
        return sum / SEEDS;
    }

    /** Each item takes the slot that is free first; the trainer waits for 90% of them. */
    private static double lastStep(
            Step step,
            double tokenSeconds,
            List<FleetUpstream> engines,
            Map<String, Double> speeds,
            SplittableRandom random) {
        PriorityQueue<Slot> slots = new PriorityQueue<>();
        for (FleetUpstream engine : engines) {
            for (int i = 0; i < SLOTS; i++) {
                slots.add(new Slot(0, speeds.getOrDefault(engine.id(), 1.0)));
            }
        }
        List<Double> durations = new ArrayList<>();
        for (int number = 0; number < STEPS; number++) {
            double submitted = number * INTERVAL_SECONDS;
            durations.clear();
            for (int item = 0; item < step.items; item++) {
                Slot slot = slots.remove();
                double seconds = step.tokens * tokenSeconds * -Math.log(1 - random.nextDouble());
                double end = Math.max(submitted, slot.freeAt) + seconds / slot.speed;
                durations.add(end - submitted);
                slots.add(new Slot(end, slot.speed));
            }
            durations.sort(null);
        }
        return durations.get(step.items * 9 / 10 - 1);
    }

    private record Slot(double freeAt, double speed) implements Comparable<Slot> {
        @Override
        public int compareTo(Slot other) {
            return Double.compare(freeAt, other.freeAt);
        }
    }

    private static List<FleetUpstream> engines(int count) {
        List<FleetUpstream> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(
                    new FleetUpstream(
                            "e" + i, "s", "10.0.0.1", 80, "z" + i % 3, SLOTS, true, Map.of(), 1));
        }
        return engines;
    }
}

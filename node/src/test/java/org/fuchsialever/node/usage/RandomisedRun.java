package org.fuchsialever.node.usage;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.services.fake.Fault;

/** Runs instances under random outages, lost responses, stale reads, moved roles and crashes. */
final class RandomisedRun {
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration CRASH_INTERVAL = Duration.ofSeconds(75);
    private static final Duration FAULT_FREE_START_BEFORE_CRASH = Duration.ofSeconds(40);
    private static final Duration FAULT_FREE_END_BEFORE_CRASH = Duration.ofSeconds(10);
    private static final Duration MAX_REQUEST_DURATION = Duration.ofMillis(9_500);

    private final UsageSimulation simulation;
    private final SplittableRandom random;
    private final Duration lossBound;
    private long nextCrashNanos = CRASH_INTERVAL.toNanos();
    private boolean down;
    private boolean stale;

    RandomisedRun(UsageSimulation simulation, Duration lossBound) {
        this.simulation = simulation;
        this.random = simulation.random;
        this.lossBound = lossBound;
    }

    void run(Duration duration) {
        simulation.table.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
        simulation.receiver.delay =
                () -> Duration.ofMillis(random.nextLong(MAX_REQUEST_DURATION.toMillis()));
        simulation.receiver.losesResponse = () -> random.nextInt(4) == 0;
        reassignRoles(WindowCloser.ROLE_COUNT);
        long end = simulation.clock.nanoTime() + duration.toNanos();
        while (simulation.clock.nanoTime() < end) {
            recordUsageAndInjectFaults();
            simulation.advance(STEP);
        }
        clearFaults();
        simulation.advance(Duration.ofSeconds(180));
    }

    private void recordUsageAndInjectFaults() {
        for (SimulatedInstance instance : runningInstances()) {
            UsageClass usageClass = UsageClass.values()[random.nextInt(5)];
            String team = "team-" + random.nextInt(3);
            instance.recordUsage(
                    UsageSimulation.key(team, usageClass),
                    new UsageCounts(1, random.nextInt(50), random.nextInt(500)));
        }
        if (isFaultFreePeriod()) {
            clearFaults();
            return;
        }
        if (random.nextInt(4) == 0) {
            simulation.table.faults().addToNextChange(randomLoss());
        }
        if (random.nextInt(60) == 0) {
            setDown(!down);
        }
        if (random.nextInt(20) == 0) {
            setStale(!stale);
        }
        if (random.nextInt(20) == 0) {
            SimulatedInstance instance = randomInstance(runningInstances());
            instance.tables.unreachable = !instance.tables.unreachable;
        }
        if (!down && random.nextInt(20) == 0) {
            reassignRoles(1 + random.nextInt(WindowCloser.ROLE_COUNT));
        }
        if (simulation.clock.nanoTime() >= nextCrashNanos) {
            nextCrashNanos = simulation.clock.nanoTime() + CRASH_INTERVAL.toNanos();
            replaceRandomInstance();
        }
    }

    /**
     * The loss bound holds for one crashed instance at a time, so the holder of its last handover
     * must be able to write it before the next crash. Faults are injected shortly before and after
     * each crash.
     */
    private boolean isFaultFreePeriod() {
        long left = nextCrashNanos - simulation.clock.nanoTime();
        return left > FAULT_FREE_END_BEFORE_CRASH.toNanos()
                && left < FAULT_FREE_START_BEFORE_CRASH.toNanos();
    }

    private Fault randomLoss() {
        return random.nextBoolean() ? Fault.LOSE_ANSWER : Fault.LOSE_REQUEST;
    }

    /** Crashes a random instance and starts a successor under the same name. */
    private void replaceRandomInstance() {
        setDown(false);
        SimulatedInstance victim = randomInstance(runningInstances());
        victim.kill(lossBound);
        simulation.addInstance(simulation.instances.indexOf(victim) % 6);
        reassignRoles(WindowCloser.ROLE_COUNT);
    }

    private void reassignRoles(int count) {
        Duration none = Duration.ZERO;
        simulation.table.faults().setDelays(none, none);
        for (int i = 0; i < count; i++) {
            simulation.assignRole(
                    random.nextInt(WindowCloser.ROLE_COUNT), randomInstance(runningInstances()));
        }
        if (count == WindowCloser.ROLE_COUNT) {
            for (int i = 0; i < WindowCloser.ROLE_COUNT; i++) {
                simulation.assignRole(i, randomInstance(runningInstances()));
            }
        }
        simulation.table.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
    }

    private void clearFaults() {
        setDown(false);
        setStale(false);
        runningInstances().forEach(instance -> instance.tables.unreachable = false);
    }

    private void setDown(boolean isDown) {
        down = isDown;
        simulation.table.faults().setDown(isDown);
    }

    private void setStale(boolean isStale) {
        stale = isStale;
        if (isStale) {
            simulation.table.beginStaleReads();
        } else {
            simulation.table.endStaleReads();
        }
    }

    private List<SimulatedInstance> runningInstances() {
        return simulation.instances.stream().filter(instance -> instance.running).toList();
    }

    private SimulatedInstance randomInstance(List<SimulatedInstance> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}

package org.fuchsialever.node.usage;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.services.fake.Fault;

/** Faults in random order: outages, lost answers, stale reads, moved roles, pauses and deaths. */
final class RandomisedRun {
    private static final Duration STEP = Duration.ofMillis(500);
    private static final Duration BETWEEN_DEATHS = Duration.ofSeconds(75);
    private static final Duration QUIET_UNTIL_DEATH = Duration.ofSeconds(40);
    private static final Duration FAULTS_BEFORE_DEATH = Duration.ofSeconds(10);
    private static final Duration LONGEST_REQUEST = Duration.ofMillis(9_500);

    private final UsageWorld world;
    private final SplittableRandom random;
    private final Duration lossBound;
    private long nextDeathNanos = BETWEEN_DEATHS.toNanos();
    private boolean down;
    private boolean stale;

    RandomisedRun(UsageWorld world, Duration lossBound) {
        this.world = world;
        this.random = world.random;
        this.lossBound = lossBound;
    }

    void run(Duration duration) {
        world.table.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
        world.receiver.delay = () -> Duration.ofMillis(random.nextLong(LONGEST_REQUEST.toMillis()));
        world.receiver.losesAnswer = () -> random.nextInt(4) == 0;
        moveRoles(WindowCloser.ROLE_COUNT);
        long end = world.clock.nanoTime() + duration.toNanos();
        while (world.clock.nanoTime() < end) {
            useAndDisturb();
            world.advance(STEP);
        }
        heal();
        world.advance(Duration.ofSeconds(180));
    }

    private void useAndDisturb() {
        for (SimulatedInstance instance : living()) {
            UsageClass usageClass = UsageClass.values()[random.nextInt(5)];
            String team = "team-" + random.nextInt(3);
            instance.use(
                    UsageWorld.key(team, usageClass),
                    new UsageCounts(1, random.nextInt(50), random.nextInt(500)));
        }
        if (isQuietPeriod()) {
            heal();
            return;
        }
        if (random.nextInt(4) == 0) {
            world.table.faults().addToNextChange(lossOfOneChange());
        }
        if (random.nextInt(60) == 0) {
            setDown(!down);
        }
        if (random.nextInt(20) == 0) {
            setStale(!stale);
        }
        if (random.nextInt(20) == 0) {
            SimulatedInstance instance = any(living());
            instance.tables.cutOff = !instance.tables.cutOff;
        }
        if (!down && random.nextInt(20) == 0) {
            moveRoles(1 + random.nextInt(WindowCloser.ROLE_COUNT));
        }
        if (world.clock.nanoTime() >= nextDeathNanos) {
            nextDeathNanos = world.clock.nanoTime() + BETWEEN_DEATHS.toNanos();
            replaceOne();
        }
    }

    /**
     * The bound holds for one lost instance: the holder of its last hand-over can write it before
     * the next instance dies. Faults go on shortly before and after each death.
     */
    private boolean isQuietPeriod() {
        long left = nextDeathNanos - world.clock.nanoTime();
        return left > FAULTS_BEFORE_DEATH.toNanos() && left < QUIET_UNTIL_DEATH.toNanos();
    }

    private Fault lossOfOneChange() {
        return random.nextBoolean() ? Fault.LOSE_ANSWER : Fault.LOSE_REQUEST;
    }

    /** A successor starts under the same name. */
    private void replaceOne() {
        setDown(false);
        SimulatedInstance victim = any(living());
        victim.kill(lossBound);
        world.addInstance(world.instances.indexOf(victim) % 6);
        moveRoles(WindowCloser.ROLE_COUNT);
    }

    private void moveRoles(int count) {
        Duration before = Duration.ZERO;
        world.table.faults().setDelays(before, before);
        for (int i = 0; i < count; i++) {
            world.giveRole(random.nextInt(WindowCloser.ROLE_COUNT), any(living()));
        }
        if (count == WindowCloser.ROLE_COUNT) {
            for (int i = 0; i < WindowCloser.ROLE_COUNT; i++) {
                world.giveRole(i, any(living()));
            }
        }
        world.table.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
    }

    private void heal() {
        setDown(false);
        setStale(false);
        living().forEach(instance -> instance.tables.cutOff = false);
    }

    private void setDown(boolean isDown) {
        down = isDown;
        world.table.faults().setDown(isDown);
    }

    private void setStale(boolean isStale) {
        stale = isStale;
        if (isStale) {
            world.table.beginStaleReads();
        } else {
            world.table.endStaleReads();
        }
    }

    private List<SimulatedInstance> living() {
        return world.instances.stream().filter(instance -> instance.alive).toList();
    }

    private SimulatedInstance any(List<SimulatedInstance> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}

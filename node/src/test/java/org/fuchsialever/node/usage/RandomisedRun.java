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

    private final UsageSimulation mSimulation;
    private final SplittableRandom mRandom;
    private final Duration mLossBound;
    private long mNextCrashNanos = CRASH_INTERVAL.toNanos();
    private boolean mDown;
    private boolean mStale;

    RandomisedRun(UsageSimulation simulation, Duration lossBound) {
        mSimulation = simulation;
        mRandom = simulation.mRandom;
        mLossBound = lossBound;
    }

    void run(Duration duration) {
        mSimulation.mTable.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
        mSimulation.mReceiver.mDelay =
                () -> Duration.ofMillis(mRandom.nextLong(MAX_REQUEST_DURATION.toMillis()));
        mSimulation.mReceiver.mLosesResponse = () -> mRandom.nextInt(4) == 0;
        reassignRoles(WindowCloser.ROLE_COUNT);
        long end = mSimulation.mClock.nanoTime() + duration.toNanos();
        while (mSimulation.mClock.nanoTime() < end) {
            recordUsageAndInjectFaults();
            mSimulation.advance(STEP);
        }
        clearFaults();
        mSimulation.advance(Duration.ofSeconds(180));
    }

    private void recordUsageAndInjectFaults() {
        for (SimulatedInstance instance : runningInstances()) {
            UsageClass usageClass = UsageClass.values()[mRandom.nextInt(5)];
            String team = "team-" + mRandom.nextInt(3);
            instance.recordUsage(
                    UsageSimulation.key(team, usageClass),
                    new UsageCounts(1, mRandom.nextInt(50), mRandom.nextInt(500)));
        }
        if (isFaultFreePeriod()) {
            clearFaults();
            return;
        }
        if (mRandom.nextInt(4) == 0) {
            mSimulation.mTable.faults().addToNextChange(randomLoss());
        }
        if (mRandom.nextInt(60) == 0) {
            setDown(!mDown);
        }
        if (mRandom.nextInt(20) == 0) {
            setStale(!mStale);
        }
        if (mRandom.nextInt(20) == 0) {
            SimulatedInstance instance = randomInstance(runningInstances());
            instance.mTables.mUnreachable = !instance.mTables.mUnreachable;
        }
        if (!mDown && mRandom.nextInt(20) == 0) {
            reassignRoles(1 + mRandom.nextInt(WindowCloser.ROLE_COUNT));
        }
        if (mSimulation.mClock.nanoTime() >= mNextCrashNanos) {
            mNextCrashNanos = mSimulation.mClock.nanoTime() + CRASH_INTERVAL.toNanos();
            replaceRandomInstance();
        }
    }

    /**
     * The loss bound holds for one crashed instance at a time, so the holder of its last handover
     * must be able to write it before the next crash. Faults are injected shortly before and after
     * each crash.
     */
    private boolean isFaultFreePeriod() {
        long left = mNextCrashNanos - mSimulation.mClock.nanoTime();
        return left > FAULT_FREE_END_BEFORE_CRASH.toNanos()
                && left < FAULT_FREE_START_BEFORE_CRASH.toNanos();
    }

    private Fault randomLoss() {
        return mRandom.nextBoolean() ? Fault.LOSE_ANSWER : Fault.LOSE_REQUEST;
    }

    /** Crashes a random instance and starts a successor under the same name. */
    private void replaceRandomInstance() {
        setDown(false);
        SimulatedInstance victim = randomInstance(runningInstances());
        victim.kill(mLossBound);
        mSimulation.addInstance(mSimulation.mInstances.indexOf(victim) % 6);
        reassignRoles(WindowCloser.ROLE_COUNT);
    }

    private void reassignRoles(int count) {
        Duration none = Duration.ZERO;
        mSimulation.mTable.faults().setDelays(none, none);
        for (int i = 0; i < count; i++) {
            mSimulation.assignRole(
                    mRandom.nextInt(WindowCloser.ROLE_COUNT), randomInstance(runningInstances()));
        }
        if (count == WindowCloser.ROLE_COUNT) {
            for (int i = 0; i < WindowCloser.ROLE_COUNT; i++) {
                mSimulation.assignRole(i, randomInstance(runningInstances()));
            }
        }
        mSimulation.mTable.faults().setDelays(Duration.ofMillis(20), Duration.ofMillis(20));
    }

    private void clearFaults() {
        setDown(false);
        setStale(false);
        runningInstances().forEach(instance -> instance.mTables.mUnreachable = false);
    }

    private void setDown(boolean isDown) {
        mDown = isDown;
        mSimulation.mTable.faults().setDown(isDown);
    }

    private void setStale(boolean isStale) {
        mStale = isStale;
        if (isStale) {
            mSimulation.mTable.beginStaleReads();
        } else {
            mSimulation.mTable.endStaleReads();
        }
    }

    private List<SimulatedInstance> runningInstances() {
        return mSimulation.mInstances.stream().filter(instance -> instance.mRunning).toList();
    }

    private SimulatedInstance randomInstance(List<SimulatedInstance> candidates) {
        return candidates.get(mRandom.nextInt(candidates.size()));
    }
}

package org.fuchsialever.decisions.directory;

import java.util.concurrent.TimeUnit;

/** A store table that every instance mirrors. */
public enum DirectoryTable {
    /** Declarations of operators and trainers; changes are rare and must apply quickly. */
    DECLARATIONS(50),
    /** Descriptions of upstreams; must be known well within the 2 s a leaving one still serves. */
    UPSTREAMS(400),
    /** State of batch submissions; an instance begins a submission that is assigned to it here. */
    BATCHES(100),
    /** Heartbeats of the instances, written every 0.7 s. */
    INSTANCES(700);

    /** Above this number each instance reads less often, which keeps the total rate constant. */
    private static final int INSTANCES_AT_FULL_RATE = 40;

    /** Half of the 2 s for which a leaving upstream still serves. */
    private static final long MAX_INTERVAL_MILLIS = 1_000;

    private final long mIntervalMillis;

    DirectoryTable(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    /**
     * Returns the minimum interval between the starts of two reads of the change feed. Without it
     * each change of a table would cause a read by every instance.
     *
     * @param instances the number of instances that read the table
     * @return the interval in milliseconds
     */
    public long intervalMillis(int instances) {
        long spread =
                mIntervalMillis
                        * Math.max(INSTANCES_AT_FULL_RATE, instances)
                        / INSTANCES_AT_FULL_RATE;
        return Math.min(spread, MAX_INTERVAL_MILLIS);
    }

    long intervalNanos(int instances) {
        return TimeUnit.MILLISECONDS.toNanos(intervalMillis(instances));
    }
}

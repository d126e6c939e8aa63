package org.fuchsialever.decisions.directory;

import java.util.concurrent.TimeUnit;

/** A table that every instance mirrors. */
public enum DirectoryTable {
    /** What operators and trainers declare; changes are rare and must be in force soon. */
    DECLARATIONS(50),
    /** What upstreams say of themselves; must be known well within the 2 s they go on serving. */
    UPSTREAMS(400),
    /** The state of batch submissions; an instance begins a submission that it finds here. */
    BATCHES(100),
    /** Signs of life of the instances, written each 0.7 s. */
    INSTANCES(700);

    /** With more instances each reads less often, so that all of them read as often together. */
    private static final int INSTANCES_AT_FULL_RATE = 40;

    /** Half of the time that an upstream serves on after it has said that it leaves. */
    private static final long LONGEST_INTERVAL_MILLIS = 1_000;

    private final long intervalMillis;

    DirectoryTable(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Returns the least time between the starts of two reads of the changes. Without it each change
     * of a table would cost a read by every instance.
     *
     * @param instances the number of instances that read the table
     * @return the time in milliseconds
     */
    public long intervalMillis(int instances) {
        long spread =
                intervalMillis
                        * Math.max(INSTANCES_AT_FULL_RATE, instances)
                        / INSTANCES_AT_FULL_RATE;
        return Math.min(spread, LONGEST_INTERVAL_MILLIS);
    }

    long intervalNanos(int instances) {
        return TimeUnit.MILLISECONDS.toNanos(intervalMillis(instances));
    }
}

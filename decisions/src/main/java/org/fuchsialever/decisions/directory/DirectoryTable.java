package org.fuchsialever.decisions.directory;

import java.util.concurrent.TimeUnit;

/** A store table that every instance mirrors. */
public enum DirectoryTable {
    /** Declarations of operators and trainers; changes are rare and must apply quickly. */
    DECLARATIONS(50, 100),
    /** Descriptions of upstreams; must be known well within the 2 s a leaving one still serves. */
    UPSTREAMS(400, 1_000),
    /** State of batch submissions; an instance begins a submission that is assigned to it here. */
    BATCHES(100, 300),
    /** Slots of the working set, which its members renew every 0.7 s. */
    INSTANCES(700, 2_000);

    private final long mMemberIntervalMillis;
    private final long mIntervalMillis;

    DirectoryTable(long memberIntervalMillis, long intervalMillis) {
        mMemberIntervalMillis = memberIntervalMillis;
        mIntervalMillis = intervalMillis;
    }

    /**
     * Returns the minimum interval between the starts of two reads of the change feed. Without it
     * each change of a table would cause a read by every instance.
     *
     * @param member whether the reader belongs to the working set, which acts on what it reads
     * @return the interval in milliseconds
     */
    public long intervalMillis(boolean member) {
        return member ? mMemberIntervalMillis : mIntervalMillis;
    }

    long intervalNanos(boolean member) {
        return TimeUnit.MILLISECONDS.toNanos(intervalMillis(member));
    }
}

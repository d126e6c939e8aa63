package org.fuchsialever.decisions.directory;

import java.util.concurrent.TimeUnit;

/** A table that every instance mirrors. */
public enum DirectoryTable {
    /** What operators and trainers declare; changes are rare and must be in force soon. */
    DECLARATIONS(50),
    /** What upstreams say of themselves; must be known well within the 2 s they go on serving. */
    UPSTREAMS(200),
    /** The state of batch submissions; an instance begins a submission that it finds here. */
    BATCHES(100),
    /** Signs of life of the instances, written each 0.7 s. */
    INSTANCES(500);

    private final long intervalNanos;

    DirectoryTable(long intervalMillis) {
        intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
    }

    /**
     * Returns the least time between the starts of two reads of the changes, in nanoseconds.
     * Without it each change of a table would cost a read by every instance.
     */
    long intervalNanos() {
        return intervalNanos;
    }
}

package org.fuchsialever.decisions.directory;

/** A table that every instance mirrors. */
public enum DirectoryTable {
    /** What operators and trainers declare. */
    DECLARATIONS,
    /** What upstreams say of themselves. */
    UPSTREAMS,
    /** The state of batch submissions. */
    BATCHES,
    /** Signs of life of the instances. */
    INSTANCES
}

package org.fuchsialever.decisions.config;

/** How an upstream is paid for. */
public enum CapacityKind {
    /** Kept until it is stopped. */
    REGULAR,
    /** Cheaper; may be reclaimed at any time with seconds of notice. */
    CHEAP
}

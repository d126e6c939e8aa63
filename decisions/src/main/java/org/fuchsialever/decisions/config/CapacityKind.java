package org.fuchsialever.decisions.config;

/** Pricing class of the capacity on which an upstream runs. */
public enum CapacityKind {
    /** Kept until it is stopped. */
    REGULAR,
    /** Discounted; may be reclaimed at any time with a few seconds of notice. */
    CHEAP
}

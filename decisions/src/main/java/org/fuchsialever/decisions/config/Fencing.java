package org.fuchsialever.decisions.config;

/** Whether an upstream checks the fencing number of an order. */
public enum Fencing {
    /** Orders with an old number are refused. */
    ENFORCED,
    /** The number is not looked at. */
    IGNORED
}

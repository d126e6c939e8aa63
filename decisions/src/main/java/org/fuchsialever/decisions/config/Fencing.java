package org.fuchsialever.decisions.config;

/** Whether an upstream checks the fencing token of an order. */
public enum Fencing {
    /** Orders with an outdated token are refused. */
    ENFORCED,
    /** The token is ignored. */
    IGNORED
}

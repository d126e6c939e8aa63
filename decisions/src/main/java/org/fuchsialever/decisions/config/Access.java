package org.fuchsialever.decisions.config;

/** Who may call a route. */
public enum Access {
    /** Callers with a key of a team that the route lists. */
    KEYED,
    /** All callers, without a key. */
    OPEN
}

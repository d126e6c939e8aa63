package org.fuchsialever.decisions.domain;

/** Why the share of calls that leave the failure domain has changed. */
public enum LeaveReason {
    /** Calls wait longer at home than elsewhere, by more than it costs to leave. */
    HOME_SHORT,
    /** No upstream at home accepts calls. */
    HOME_LOST,
    /** Calls at home no longer wait longer than elsewhere. */
    ROOM_BACK,
    /** No upstream elsewhere accepts calls. */
    NEIGHBOURS_LOST
}

package org.fuchsialever.decisions.samples;

/** Why a request of a trainer is refused. */
public enum RolloutRefusal {
    /** This instance does not hold the lease of the trainer, or has not restored its state yet. */
    NOT_HOLDER,
    /** The step was already submitted with other groups. */
    STEP_DIFFERS,
    /** The trainer has too many unacknowledged samples or too many open requests. */
    TOO_MANY,
    /** A group has more samples than an instance may hold at a time. */
    GROUP_TOO_LARGE,
    /** The cursor is beyond the last sample. */
    CURSOR_BEYOND_END
}

package org.fuchsialever.decisions.samples;

/** Why a request of a trainer is refused. */
public enum RolloutRefusal {
    /** This instance does not act for the trainer, or not yet. */
    NOT_HOLDER,
    /** The step was submitted before with other groups. */
    STEP_DIFFERS,
    /** The trainer has too many samples without acknowledgement, or too many requests open. */
    TOO_MANY,
    /** A group has more samples than an instance may hold. */
    GROUP_TOO_LARGE,
    /** The cursor is beyond the last sample. */
    CURSOR_BEYOND_END
}

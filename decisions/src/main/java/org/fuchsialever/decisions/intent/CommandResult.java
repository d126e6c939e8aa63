package org.fuchsialever.decisions.intent;

/** What is known after an attempt to carry out an intent. */
public enum CommandResult {
    /** The receiver carries the act out, or has done so before. */
    DONE(true, false, false),
    /** The receiver refused the act, and it has no effect. */
    REFUSED(true, true, false),
    /** The receiver tried and failed; it answered, so nothing is in transit. */
    FAILED(true, false, false),
    /** Nothing was written, for example because the lease had ended. */
    NOT_SENT(false, false, false),
    /** The receiver has seen a higher fencing number. */
    STALE_FENCING(false, false, false),
    /** No answer; the act may take effect now or later. */
    UNKNOWN(false, false, true);

    private final boolean answered;
    private final boolean withoutEffect;
    private final boolean inTransit;

    CommandResult(boolean answered, boolean withoutEffect, boolean inTransit) {
        this.answered = answered;
        this.withoutEffect = withoutEffect;
        this.inTransit = inTransit;
    }

    /** Returns whether the receiver gave an answer that ends the intent. */
    public boolean isFinal() {
        return answered;
    }

    /** Returns whether an earlier attempt that is still in transit could contradict the answer. */
    boolean contradictedByEarlierAttempt() {
        return withoutEffect;
    }

    /** Returns whether the attempt may still take effect. */
    boolean inTransit() {
        return inTransit;
    }
}

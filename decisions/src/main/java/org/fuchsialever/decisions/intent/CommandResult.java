package org.fuchsialever.decisions.intent;

/** Known result of an attempt to execute the command of an intent. */
public enum CommandResult {
    /** The receiver executes the command, or has executed it before. */
    DONE(true, false, false),
    /** The receiver refused the command, which has no effect. */
    REFUSED(true, true, false),
    /** The receiver failed to execute the command; as it responded, nothing is in transit. */
    FAILED(true, false, false),
    /** The command was not sent, for example because the lease had ended. */
    NOT_SENT(false, false, false),
    /** The receiver has seen a higher fencing token. */
    STALE_FENCING(false, false, false),
    /** No response; the command may take effect now or later. */
    UNKNOWN(false, false, true);

    private final boolean mEndsIntent;
    private final boolean mWithoutEffect;
    private final boolean mMayBeInTransit;

    CommandResult(boolean endsIntent, boolean withoutEffect, boolean mayBeInTransit) {
        mEndsIntent = endsIntent;
        mWithoutEffect = withoutEffect;
        mMayBeInTransit = mayBeInTransit;
    }

    /** Returns whether the receiver gave a response that ends the intent. */
    public boolean isFinal() {
        return mEndsIntent;
    }

    /** Returns whether an earlier attempt that is in transit could contradict the response. */
    boolean mayBeContradicted() {
        return mWithoutEffect;
    }

    /** Returns whether the attempt may still take effect. */
    boolean mayBeInTransit() {
        return mMayBeInTransit;
    }
}

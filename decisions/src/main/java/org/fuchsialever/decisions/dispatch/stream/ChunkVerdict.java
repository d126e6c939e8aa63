package org.fuchsialever.decisions.dispatch.stream;

import java.util.Locale;

/** How one chunk of a stream is handled. */
public enum ChunkVerdict {
    /** The token is the next one of the response and is delivered. */
    DELIVER(false),
    /** The token has been delivered before. */
    DUPLICATE(false),
    /** The chunk belongs to an attempt that is no longer current. */
    LATE(false),
    /** An earlier chunk of the same attempt has ended that attempt. */
    AFTER_DOUBT(false),
    /** The engine sent no weight version. */
    NO_VERSION(true),
    /** The engine start ID is missing or differs from that of the first chunk of the attempt. */
    ENGINE_START_CHANGED(true),
    /** At least one token between the last delivered one and this one is missing. */
    GAP(true);

    private final boolean mEndsAttempt;

    ChunkVerdict(boolean doubt) {
        mEndsAttempt = doubt;
    }

    /**
     * Returns whether the attempt must end and generation resume after the last delivered token.
     */
    public boolean endsAttempt() {
        return mEndsAttempt;
    }

    /** Returns the name used in metrics, such as {@code no-version}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

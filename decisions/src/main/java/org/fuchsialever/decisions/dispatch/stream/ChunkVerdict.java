package org.fuchsialever.decisions.dispatch.stream;

import java.util.Locale;

/** What becomes of one chunk of a stream. */
public enum ChunkVerdict {
    /** The token is the next one of the answer and is to be delivered. */
    DELIVER(false),
    /** The token has been delivered before. */
    DUPLICATE(false),
    /** The chunk belongs to an attempt that is no longer current. */
    LATE(false),
    /** The chunk follows a doubtful one of the same attempt. */
    AFTER_DOUBT(false),
    /** The engine stated no weight version. */
    NO_VERSION(true),
    /** The engine start is missing or differs from the one that the stream began with. */
    ENGINE_START_CHANGED(true),
    /** At least one token between this one and the last certain one is missing. */
    GAP(true);

    private final boolean doubt;

    ChunkVerdict(boolean doubt) {
        this.doubt = doubt;
    }

    /** Returns whether the attempt must end and generation go on from the last certain token. */
    public boolean endsAttempt() {
        return doubt;
    }

    /** Returns the name used in metrics, such as {@code no-version}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

package org.fuchsialever.decisions.memory;

/** A part of the memory budget that other parts cannot use up. */
public enum MemoryShare {
    /** Bodies of ordinary calls, which go on beside large ones. */
    SMALL_BODY(5),
    /** All other bodies, and small ones while their own share is full. */
    LARGE_BODY(75),
    /** Responses that callers have not read yet. */
    RESPONSE(20);

    /** Ordinary calls and reads stay below; submissions of a step do not. */
    public static final long MAX_SMALL_BODY_BYTES = 16 * 1_024;

    private static final int PERCENT = 100;

    private final int mPercent;

    MemoryShare(int percent) {
        mPercent = percent;
    }

    /** Returns the bytes of this share in a budget. */
    long limitBytes(long budgetBytes) {
        return budgetBytes / PERCENT * mPercent;
    }

    /** Returns the share of a body. */
    static MemoryShare ofBody(long bytes) {
        return bytes <= MAX_SMALL_BODY_BYTES ? SMALL_BODY : LARGE_BODY;
    }
}

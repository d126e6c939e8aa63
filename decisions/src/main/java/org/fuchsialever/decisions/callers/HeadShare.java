package org.fuchsialever.decisions.callers;

/** A part of the room for heads that the other parts cannot use up. */
public enum HeadShare {
    /** Requests in progress whose heads are of ordinary cost. */
    ORDINARY(45),
    /** Requests in progress with dearer heads, and ordinary ones while their own share is full. */
    LARGE(35),
    /** Bytes of heads that have not ended and of requests sent ahead; not parsed yet. */
    UNPARSED(20);

    /** Well above a head with a few dozen fields. */
    public static final long MAX_ORDINARY_COST = 32 * 1_024;

    private static final int PERCENT = 100;

    private final int mPercent;

    HeadShare(int percent) {
        mPercent = percent;
    }

    long limitBytes(long budgetBytes) {
        return budgetBytes / PERCENT * mPercent;
    }

    /** Returns the share of a parsed head. */
    static HeadShare ofCost(long cost) {
        return cost <= MAX_ORDINARY_COST ? ORDINARY : LARGE;
    }
}

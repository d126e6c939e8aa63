package org.fuchsialever.decisions.callers;

import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.Map;

/**
 * Decides which heads have room, so that all of them stay within one number of bytes. Has one user
 * at a time.
 */
public final class HeadBudget {
    private final long mBudgetBytes;
    private final Map<HeadShare, Long> mUsed = new EnumMap<>(HeadShare.class);

    /** Creates an unused budget. */
    public HeadBudget(long budgetBytes) {
        mBudgetBytes = budgetBytes;
        for (HeadShare share : HeadShare.values()) {
            mUsed.put(share, 0L);
        }
    }

    /** Takes the room of a complete head; returns the share that it came from. */
    public Option<HeadShare> admit(long cost) {
        HeadShare own = HeadShare.ofCost(cost);
        if (tryTake(own, cost)) {
            return Option.some(own);
        }
        return own != HeadShare.LARGE && tryTake(HeadShare.LARGE, cost)
                ? Option.some(HeadShare.LARGE)
                : Option.none();
    }

    /** Takes the room of bytes that are not parsed yet, or returns false. */
    public boolean tryHold(long bytes) {
        return tryTake(HeadShare.UNPARSED, bytes);
    }

    /** Returns room. */
    public void release(HeadShare share, long bytes) {
        mUsed.merge(share, -bytes, Long::sum);
    }

    /** Returns the bytes of a share that are taken. */
    public long usedBytes(HeadShare share) {
        return mUsed.getOrDefault(share, 0L);
    }

    private boolean tryTake(HeadShare share, long bytes) {
        long used = usedBytes(share);
        // A single head has room however small the budget is.
        if (used > 0 && used + bytes > share.limitBytes(mBudgetBytes)) {
            return false;
        }
        mUsed.put(share, used + bytes);
        return true;
    }
}

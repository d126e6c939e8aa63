package org.fuchsialever.decisions.dispatch;

/**
 * Approximate index of the upstreams that hold a prompt prefix in their cache. Its memory is fixed:
 * on a collision the new prefix replaces the old one, because a wrong entry costs only a cache
 * miss.
 */
final class PrefixCacheView {
    static final int MAX_HOLDERS = 4;

    private static final int ENTRY_COUNT = 1 << 14;
    private static final int NONE = -1;

    private final long[] mPrefixes = new long[ENTRY_COUNT];
    private final int[] mHolders = new int[ENTRY_COUNT * MAX_HOLDERS];

    PrefixCacheView() {
        java.util.Arrays.fill(mHolders, NONE);
    }

    void onStored(long prefix, int upstream) {
        int place = entryIndex(prefix);
        if (mPrefixes[place] != prefix) {
            mPrefixes[place] = prefix;
            for (int i = 0; i < MAX_HOLDERS; i++) {
                mHolders[place * MAX_HOLDERS + i] = NONE;
            }
        }
        int oldest = place * MAX_HOLDERS + MAX_HOLDERS - 1;
        for (int i = place * MAX_HOLDERS; i < oldest; i++) {
            if (mHolders[i] == upstream || mHolders[i] == NONE) {
                mHolders[i] = upstream;
                return;
            }
        }
        mHolders[oldest] = upstream;
    }

    void onEvicted(long prefix, int upstream) {
        int place = entryIndex(prefix);
        if (mPrefixes[place] == prefix) {
            for (int i = place * MAX_HOLDERS; i < (place + 1) * MAX_HOLDERS; i++) {
                if (mHolders[i] == upstream) {
                    mHolders[i] = NONE;
                }
            }
        }
    }

    /** Returns the upstream at a position below {@link #MAX_HOLDERS}, or -1. */
    int holder(long prefix, int position) {
        int place = entryIndex(prefix);
        return mPrefixes[place] == prefix ? mHolders[place * MAX_HOLDERS + position] : NONE;
    }

    boolean holds(long prefix, int upstream) {
        for (int i = 0; i < MAX_HOLDERS; i++) {
            if (holder(prefix, i) == upstream) {
                return true;
            }
        }
        return false;
    }

    /** Removes all entries; required when the indices of the upstreams have changed. */
    void clear() {
        java.util.Arrays.fill(mHolders, NONE);
    }

    private static int entryIndex(long prefix) {
        long mixed = prefix * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 50);
    }
}

package org.fuchsialever.decisions.dispatch;

/**
 * Which upstreams probably hold a prompt prefix in their cache. Fixed memory: an entry is replaced
 * when another prefix falls on its place, since a wrong guess only costs a cache miss.
 */
final class PrefixCacheView {
    static final int HOLDERS = 4;

    private static final int ENTRIES = 1 << 14;
    private static final int NONE = -1;

    private final long[] prefixes = new long[ENTRIES];
    private final int[] holders = new int[ENTRIES * HOLDERS];

    PrefixCacheView() {
        java.util.Arrays.fill(holders, NONE);
    }

    void stored(long prefix, int upstream) {
        int place = place(prefix);
        if (prefixes[place] != prefix) {
            prefixes[place] = prefix;
            for (int i = 0; i < HOLDERS; i++) {
                holders[place * HOLDERS + i] = NONE;
            }
        }
        int oldest = place * HOLDERS + HOLDERS - 1;
        for (int i = place * HOLDERS; i < oldest; i++) {
            if (holders[i] == upstream || holders[i] == NONE) {
                holders[i] = upstream;
                return;
            }
        }
        holders[oldest] = upstream;
    }

    void evicted(long prefix, int upstream) {
        int place = place(prefix);
        if (prefixes[place] == prefix) {
            for (int i = place * HOLDERS; i < (place + 1) * HOLDERS; i++) {
                if (holders[i] == upstream) {
                    holders[i] = NONE;
                }
            }
        }
    }

    /** Returns the upstream at a position below {@link #HOLDERS}, or -1. */
    int holder(long prefix, int position) {
        int place = place(prefix);
        return prefixes[place] == prefix ? holders[place * HOLDERS + position] : NONE;
    }

    boolean holds(long prefix, int upstream) {
        for (int i = 0; i < HOLDERS; i++) {
            if (holder(prefix, i) == upstream) {
                return true;
            }
        }
        return false;
    }

    /** Forgets everything, because the numbering of upstreams has changed. */
    void clear() {
        java.util.Arrays.fill(holders, NONE);
    }

    private static int place(long prefix) {
        long mixed = prefix * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 50);
    }
}

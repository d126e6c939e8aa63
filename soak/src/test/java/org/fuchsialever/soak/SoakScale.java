package org.fuchsialever.soak;

import java.util.random.RandomGenerator;

/** How large the steps and bodies of a run are. */
enum SoakScale {
    /** Of the run in CI. */
    SHORT(120, 4),
    /** Of a run by hand. */
    LONG(5_000, 20);

    private static final int USUAL_ITEMS = 6;

    /** Large steps come once in so many. */
    private static final int LARGE_IN = 12;

    /** Bursts come once in so many. */
    private static final int BURST_IN = 50;

    private final int mMostItems;
    private final int mLargestBurst;

    SoakScale(int mostItems, int largestBurst) {
        mMostItems = mostItems;
        mLargestBurst = largestBurst;
    }

    /** Returns the number of items of a step: mostly a few, some 1, some many. */
    int items(RandomGenerator random) {
        if (random.nextInt(LARGE_IN) > 0) {
            return 1 + random.nextInt(2 * USUAL_ITEMS);
        }
        // Steps near the maximum are rarer than those of a few hundred items.
        return 1 + (int) (mMostItems * Math.pow(random.nextDouble(), 3));
    }

    /** Returns the number of calls that are sent at once. */
    int burst(RandomGenerator random) {
        return random.nextInt(BURST_IN) > 0 ? 1 : 1 + random.nextInt(mLargestBurst);
    }
}

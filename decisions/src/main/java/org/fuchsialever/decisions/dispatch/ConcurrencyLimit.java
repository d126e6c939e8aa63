package org.fuchsialever.decisions.dispatch;

/**
 * Adaptive limit on the requests in flight at one upstream. After each window of responses it grows
 * by one, up to the slots of the upstream, or shrinks by a tenth if the first bytes arrived much
 * later than on average. Requests beyond the slots would only wait in the upstream's own queue,
 * where the shares of the teams do not apply.
 *
 * <p>The baseline is a moving average and not the minimum: cached prompts are answered ten times
 * faster, so that compared with the minimum all other prompts looked slow. A delay that is short
 * compared with the complete response is tolerated as well; otherwise a wait of 100 ms before
 * responses of 600 ms reduced the limit to a few requests.
 */
final class ConcurrencyLimit {
    private static final double SLOW_FACTOR = 3.0;
    private static final double TOLERATED_SHARE_OF_TOTAL = 0.5;
    private static final double DECREASE_FACTOR = 0.9;
    private static final double SMOOTHING = 0.2;

    private final int mSlots;
    private double mLimit;
    private double mAverageFirstByteNanos;
    private double mAverageTotalNanos;
    private double mWindowFirstByteNanos;
    private double mWindowTotalNanos;
    private int mWindowCount;
    private boolean mWindowWasFull;

    ConcurrencyLimit(int slots) {
        mSlots = slots;
        mLimit = slots;
    }

    /** Records the times of a response and the number of requests in flight, including its own. */
    void onResponse(long firstByteNanos, long totalNanos, int inFlight) {
        mWindowFirstByteNanos += firstByteNanos;
        mWindowTotalNanos += totalNanos;
        mWindowWasFull |= inFlight >= (int) mLimit;
        mWindowCount++;
        if (mWindowCount >= mLimit) {
            closeWindow();
        }
    }

    /** Reduces the limit because the upstream refused a request. */
    void onNotAdmitted() {
        mLimit = Math.max(1, mLimit * DECREASE_FACTOR);
    }

    int limit() {
        return (int) mLimit;
    }

    private void closeWindow() {
        double firstByte = mWindowFirstByteNanos / mWindowCount;
        double total = mWindowTotalNanos / mWindowCount;
        double tolerated =
                Math.max(
                        SLOW_FACTOR * mAverageFirstByteNanos,
                        TOLERATED_SHARE_OF_TOTAL * mAverageTotalNanos);
        if (mAverageTotalNanos > 0 && firstByte > tolerated) {
            mLimit = Math.max(1, mLimit * DECREASE_FACTOR);
        } else if (mWindowWasFull) {
            mLimit = Math.min(mSlots, mLimit + 1);
        }
        mAverageFirstByteNanos = smooth(mAverageFirstByteNanos, firstByte);
        mAverageTotalNanos = smooth(mAverageTotalNanos, total);
        mWindowFirstByteNanos = 0;
        mWindowTotalNanos = 0;
        mWindowCount = 0;
        mWindowWasFull = false;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}

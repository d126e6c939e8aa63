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

    private final int slots;
    private double limit;
    private double averageFirstByteNanos;
    private double averageTotalNanos;
    private double windowFirstByteNanos;
    private double windowTotalNanos;
    private int windowCount;
    private boolean windowWasFull;

    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    /** Records the times of a response and the number of requests in flight, including its own. */
    void onResponse(long firstByteNanos, long totalNanos, int inFlight) {
        windowFirstByteNanos += firstByteNanos;
        windowTotalNanos += totalNanos;
        windowWasFull |= inFlight >= (int) limit;
        windowCount++;
        if (windowCount >= limit) {
            closeWindow();
        }
    }

    /** Reduces the limit because the upstream refused a request. */
    void onNotAdmitted() {
        limit = Math.max(1, limit * DECREASE_FACTOR);
    }

    int limit() {
        return (int) limit;
    }

    private void closeWindow() {
        double firstByte = windowFirstByteNanos / windowCount;
        double total = windowTotalNanos / windowCount;
        double tolerated =
                Math.max(
                        SLOW_FACTOR * averageFirstByteNanos,
                        TOLERATED_SHARE_OF_TOTAL * averageTotalNanos);
        if (averageTotalNanos > 0 && firstByte > tolerated) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
        } else if (windowWasFull) {
            limit = Math.min(slots, limit + 1);
        }
        averageFirstByteNanos = smooth(averageFirstByteNanos, firstByte);
        averageTotalNanos = smooth(averageTotalNanos, total);
        windowFirstByteNanos = 0;
        windowTotalNanos = 0;
        windowCount = 0;
        windowWasFull = false;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}

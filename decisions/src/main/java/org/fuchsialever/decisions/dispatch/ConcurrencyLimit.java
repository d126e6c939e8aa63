package org.fuchsialever.decisions.dispatch;

/**
 * Adaptive limit on the requests in flight at one upstream. After each window of answers it grows
 * by one, up to the slots of the upstream, or shrinks by a tenth if answers began much later than
 * they usually do. More than the slots would only wait in the upstream's own queue, where teams
 * have no shares.
 *
 * <p>The usual time is a slow average and not the least time: a prompt that is in the cache is
 * answered ten times faster, and with the least time as baseline every other prompt looked slow. A
 * delay that is small against the whole answer does not count either; without that allowance a wait
 * of 100 ms before answers of 600 ms drove the limit down to a few requests.
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

    /** Takes the times of an answer and the number of requests that were in flight with it. */
    void onResponse(long firstByteNanos, long totalNanos, int inFlight) {
        windowFirstByteNanos += firstByteNanos;
        windowTotalNanos += totalNanos;
        windowWasFull |= inFlight >= (int) limit;
        windowCount++;
        if (windowCount >= limit) {
            closeWindow();
        }
    }

    /** Shrinks the limit because the upstream refused a request. */
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

package org.fuchsialever.decisions.dispatch;

/**
 * Adaptive limit on the requests in flight at one upstream. It grows by one for each full window of
 * quick answers, up to the slots of the upstream, and shrinks by a tenth when the first byte takes
 * much longer than it used to. More than the slots would only wait in the upstream's own queue,
 * where teams have no shares.
 */
final class ConcurrencyLimit {
    private static final double SLOW_FACTOR = 3.0;
    private static final double DECREASE = 0.9;
    private static final double SMOOTHING = 0.1;
    private static final double BASELINE_DRIFT = 1.01;

    private final int slots;
    private double limit;
    private double baselineNanos;
    private double smoothedNanos;

    ConcurrencyLimit(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    /** Takes the time to the first byte of an answer. */
    void onFirstByte(long nanos, int inFlight) {
        smoothedNanos =
                smoothedNanos == 0 ? nanos : smoothedNanos + SMOOTHING * (nanos - smoothedNanos);
        // The baseline rises slowly, so that it follows an upstream that has become slower.
        baselineNanos =
                baselineNanos == 0 ? nanos : Math.min(nanos, baselineNanos * BASELINE_DRIFT);
        if (smoothedNanos > SLOW_FACTOR * baselineNanos) {
            limit = Math.max(1, limit * DECREASE);
        } else if (inFlight >= limit - 1) {
            limit = Math.min(slots, limit + 1 / limit);
        }
    }

    /** Shrinks the limit because the upstream refused a request. */
    void onNotAdmitted() {
        limit = Math.max(1, limit * DECREASE);
    }

    int limit() {
        return (int) limit;
    }
}

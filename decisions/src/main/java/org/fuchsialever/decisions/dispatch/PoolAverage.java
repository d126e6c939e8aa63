package org.fuchsialever.decisions.dispatch;

/** Averages over the upstreams of a pool, taken from time to time. */
final class PoolAverage {
    private static final double DEFAULT_SERVICE_NANOS = 2e9;

    /** With 4, reports that were 1 s late still drew the instances of a large pool together. */
    private static final double STALENESS_FACTOR = 20;

    private double busy;
    private double inFlight;
    private double serviceNanos = DEFAULT_SERVICE_NANOS;

    void set(double newBusy, double newInFlight, double newServiceNanos) {
        busy = newBusy;
        inFlight = newInFlight;
        serviceNanos = newServiceNanos > 0 ? newServiceNanos : DEFAULT_SERVICE_NANOS;
    }

    double busy() {
        return busy;
    }

    double inFlight() {
        return inFlight;
    }

    /** Returns how far a report of the given age is still true, from 1 down to 0. */
    double reportWeight(long ageNanos) {
        return 1 / (1 + STALENESS_FACTOR * ageNanos / serviceNanos);
    }
}

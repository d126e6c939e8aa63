package org.fuchsialever.decisions.dispatch;

/** Averages over the upstreams of a pool, refreshed at intervals. */
final class PoolAverage {
    private static final double DEFAULT_SERVICE_NANOS = 2e9;

    /**
     * With 4, reports that were 1 s old still made the instances of a large pool choose the same
     * upstreams.
     */
    private static final double STALENESS_FACTOR = 20;

    private double mBusy;
    private double mInFlight;
    private double mServiceNanos = DEFAULT_SERVICE_NANOS;

    void set(double newBusy, double newInFlight, double newServiceNanos) {
        mBusy = newBusy;
        mInFlight = newInFlight;
        mServiceNanos = newServiceNanos > 0 ? newServiceNanos : DEFAULT_SERVICE_NANOS;
    }

    double busy() {
        return mBusy;
    }

    double inFlight() {
        return mInFlight;
    }

    /** Returns the weight given to a report of the given age, from 1 for a new one towards 0. */
    double reportWeight(long ageNanos) {
        return 1 / (1 + STALENESS_FACTOR * ageNanos / mServiceNanos);
    }
}

package org.fuchsialever.decisions.dispatch;

/**
 * Limits the retries of a route to a part of its requests, so that failing upstreams do not get
 * multiplied load. A small reserve lets routes with little traffic retry at all.
 */
final class RetryBudget {
    private static final double RESERVE = 10;

    private final double ratio;
    private double tokens = RESERVE;

    RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    void onRequest() {
        tokens = Math.min(RESERVE, tokens + ratio);
    }

    boolean tryRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}

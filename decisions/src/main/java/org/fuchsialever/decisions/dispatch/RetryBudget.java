package org.fuchsialever.decisions.dispatch;

/**
 * Limits the retries of a route to a share of its requests, so that retries do not multiply the
 * load on failing upstreams. A small reserve allows retries on routes with little traffic.
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

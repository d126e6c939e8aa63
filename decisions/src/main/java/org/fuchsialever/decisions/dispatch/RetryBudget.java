package org.fuchsialever.decisions.dispatch;

/**
 * Limits the retries of a route to a share of its requests, so that retries do not multiply the
 * load on failing upstreams. A small reserve allows retries on routes with little traffic.
 */
final class RetryBudget {
    private static final double RESERVE = 10;

    private final double mRatio;
    private double mTokens = RESERVE;

    RetryBudget(double ratio) {
        mRatio = ratio;
    }

    void onRequest() {
        mTokens = Math.min(RESERVE, mTokens + mRatio);
    }

    boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens -= 1;
        return true;
    }
}

package org.fuchsialever.decisions.dispatch;

/** Estimates the service time of the requests of a pool from completed ones. */
final class ServiceTimes {
    private static final double SMOOTHING = 0.05;

    /**
     * Responses vary in length; with only the expected time left, half of the requests would miss
     * their deadline.
     */
    private static final double DEADLINE_MARGIN = 1.5;

    private double mAverageFirstByteNanos;
    private double mAverageNanosPerToken;
    private double mAverageTokens;
    private double mAverageTotalNanos;

    void onCompleted(AttemptReport report) {
        if (report.firstByteNanos() < 0) {
            return;
        }
        mAverageFirstByteNanos = smooth(mAverageFirstByteNanos, report.firstByteNanos());
        mAverageTotalNanos = smooth(mAverageTotalNanos, report.totalNanos());
        if (report.generatedTokens() > 0) {
            double decode = report.totalNanos() - report.firstByteNanos();
            mAverageNanosPerToken =
                    smooth(mAverageNanosPerToken, decode / report.generatedTokens());
            mAverageTokens = smooth(mAverageTokens, report.generatedTokens());
        }
    }

    /** Returns the expected number of generated tokens, at most the given number. */
    int expectedTokens(int maxTokens) {
        return mAverageTokens == 0
                ? maxTokens
                : (int) Math.min(maxTokens, Math.ceil(mAverageTokens));
    }

    /** Returns whether a request that starts at the given time will probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, double startNanos) {
        return startNanos + DEADLINE_MARGIN * expectedNanos(request) > request.deadlineNanos();
    }

    /** Returns the expected service time in nanoseconds; 0 before any request has completed. */
    double expectedNanos(DispatchRequest request) {
        if (request.maxTokens() == 0 || mAverageNanosPerToken == 0) {
            return mAverageTotalNanos;
        }
        return mAverageFirstByteNanos + expectedTokens(request.maxTokens()) * mAverageNanosPerToken;
    }

    double averageNanos() {
        return mAverageTotalNanos;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}

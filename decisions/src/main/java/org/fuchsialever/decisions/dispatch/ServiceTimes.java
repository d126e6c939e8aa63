package org.fuchsialever.decisions.dispatch;

/** Estimates the service time of the requests of a pool from completed ones. */
final class ServiceTimes {
    private static final double SMOOTHING = 0.05;

    /**
     * Responses vary in length; with only the expected time left, half of the requests would miss
     * their deadline.
     */
    private static final double DEADLINE_MARGIN = 1.5;

    private double averageFirstByteNanos;
    private double averageNanosPerToken;
    private double averageTokens;
    private double averageTotalNanos;

    void onCompleted(AttemptReport report) {
        if (report.firstByteNanos() < 0) {
            return;
        }
        averageFirstByteNanos = smooth(averageFirstByteNanos, report.firstByteNanos());
        averageTotalNanos = smooth(averageTotalNanos, report.totalNanos());
        if (report.generatedTokens() > 0) {
            double decode = report.totalNanos() - report.firstByteNanos();
            averageNanosPerToken = smooth(averageNanosPerToken, decode / report.generatedTokens());
            averageTokens = smooth(averageTokens, report.generatedTokens());
        }
    }

    /** Returns the expected number of generated tokens, at most the given number. */
    int expectedTokens(int maxTokens) {
        return averageTokens == 0 ? maxTokens : (int) Math.min(maxTokens, Math.ceil(averageTokens));
    }

    /** Returns whether a request that starts at the given time will probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, double startNanos) {
        return startNanos + DEADLINE_MARGIN * expectedNanos(request) > request.deadlineNanos();
    }

    /** Returns the expected service time in nanoseconds; 0 before any request has completed. */
    double expectedNanos(DispatchRequest request) {
        if (request.maxTokens() == 0 || averageNanosPerToken == 0) {
            return averageTotalNanos;
        }
        return averageFirstByteNanos + expectedTokens(request.maxTokens()) * averageNanosPerToken;
    }

    double averageNanos() {
        return averageTotalNanos;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}

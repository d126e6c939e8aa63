package org.fuchsialever.decisions.dispatch;

/** Estimates how long requests of a pool take, from those that have completed. */
final class ServiceTimes {
    private static final double SMOOTHING = 0.05;

    /** Answers vary in length; a start that leaves only the expected time fails half the time. */
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

    /** Returns the expected tokens of an answer, at most the given number. */
    int expectedTokens(int maxTokens) {
        return averageTokens == 0 ? maxTokens : (int) Math.min(maxTokens, Math.ceil(averageTokens));
    }

    /** Returns whether a request that starts at a time will probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, double startNanos) {
        return startNanos + DEADLINE_MARGIN * expectedNanos(request) > request.deadlineNanos();
    }

    /** Returns the expected time of one request in nanoseconds; 0 while nothing is known. */
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

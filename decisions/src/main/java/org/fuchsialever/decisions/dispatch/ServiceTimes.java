package org.fuchsialever.decisions.dispatch;

/** Estimates how long requests of a pool take, from those that have completed. */
final class ServiceTimes {
    private static final double SMOOTHING = 0.05;

    /** Answers vary in length; a start that leaves only the expected time fails half the time. */
    private static final double DEADLINE_MARGIN = 1.5;

    private double firstByteNanos;
    private double nanosPerToken;
    private double tokens;
    private double totalNanos;

    void onCompleted(AttemptReport report) {
        if (report.firstByteNanos() < 0) {
            return;
        }
        firstByteNanos = smooth(firstByteNanos, report.firstByteNanos());
        totalNanos = smooth(totalNanos, report.totalNanos());
        if (report.generatedTokens() > 0) {
            double decode = report.totalNanos() - report.firstByteNanos();
            nanosPerToken = smooth(nanosPerToken, decode / report.generatedTokens());
            tokens = smooth(tokens, report.generatedTokens());
        }
    }

    /** Returns the expected tokens of an answer, at most the given number. */
    int expectedTokens(int maxTokens) {
        return tokens == 0 ? maxTokens : (int) Math.min(maxTokens, Math.ceil(tokens));
    }

    /** Returns whether a request that starts at a time will probably miss its deadline. */
    boolean wouldMissDeadline(DispatchRequest request, double startNanos) {
        return startNanos + DEADLINE_MARGIN * expectedNanos(request) > request.deadlineNanos();
    }

    /** Returns the expected time of one request in nanoseconds; 0 while nothing is known. */
    double expectedNanos(DispatchRequest request) {
        if (request.maxTokens() == 0 || nanosPerToken == 0) {
            return totalNanos;
        }
        return firstByteNanos + expectedTokens(request.maxTokens()) * nanosPerToken;
    }

    double meanNanos() {
        return totalNanos;
    }

    private static double smooth(double old, double sample) {
        return old == 0 ? sample : old + SMOOTHING * (sample - old);
    }
}

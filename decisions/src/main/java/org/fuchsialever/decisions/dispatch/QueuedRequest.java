package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.model.UpstreamId;
import org.jspecify.annotations.Nullable;

/** A request that this instance has not answered yet. */
final class QueuedRequest {
    private final DispatchRequest request;
    private final long arrival;
    private final long arrivedAt;
    private long queuedAt;
    private int attempt;
    private int tokens;
    private int tokensBeforeAttempt;
    private double chargedCost;
    private long retryAt = Long.MAX_VALUE;
    private @Nullable UpstreamLoad upstream;
    private @Nullable UpstreamLoad failedUpstream;
    private boolean mayHaveRun;
    private int provenNotRunAttempts;

    QueuedRequest(DispatchRequest request, long arrival, long nowNanos) {
        this.request = request;
        this.arrival = arrival;
        this.arrivedAt = nowNanos;
        this.queuedAt = nowNanos;
    }

    DispatchRequest request() {
        return request;
    }

    /** Returns the number of the request in order of arrival. */
    long arrival() {
        return arrival;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long queuedAt() {
        return queuedAt;
    }

    int attempt() {
        return attempt;
    }

    int tokens() {
        return tokens;
    }

    /** Takes the number of tokens of the whole answer that have been delivered so far. */
    void tokens(int delivered) {
        tokens = Math.max(tokens, delivered);
    }

    /** Takes the number of tokens that the attempt which has just ended delivered. */
    void updateAttemptTokens(int delivered) {
        tokens(tokensBeforeAttempt + delivered);
    }

    double chargedCost() {
        return chargedCost;
    }

    @Nullable UpstreamLoad upstream() {
        return upstream;
    }

    @Nullable UpstreamLoad failedUpstream() {
        return failedUpstream;
    }

    boolean runsAt(UpstreamId id) {
        return upstream != null && upstream.spec().id().equals(id);
    }

    void start(UpstreamLoad target, double cost) {
        upstream = target;
        chargedCost = cost;
        attempt++;
        tokensBeforeAttempt = tokens;
        retryAt = Long.MAX_VALUE;
    }

    void stop() {
        failedUpstream = upstream;
        upstream = null;
    }

    void retryAt(long nanos) {
        retryAt = nanos;
        queuedAt = nanos;
    }

    boolean waitsForRetry() {
        return retryAt != Long.MAX_VALUE;
    }

    long retryAt() {
        return retryAt;
    }

    void retryStarted() {
        retryAt = Long.MAX_VALUE;
    }

    /** The present attempt ended with a proof that the upstream did not run the request. */
    void recordNotRun() {
        provenNotRunAttempts++;
    }

    /** Returns whether every attempt so far has ended with a proof that it did not run. */
    boolean isProvenNotRun() {
        return attempt == provenNotRunAttempts;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void recordMayHaveRun() {
        mayHaveRun = true;
    }
}

package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.model.UpstreamId;
import org.jspecify.annotations.Nullable;

/** A request that is queued, running or waiting for a retry at this instance. */
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

    /** Returns the sequence number of the request in order of arrival. */
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

    /** Records how many tokens of the complete response have been delivered; never decreases. */
    void updateTokens(int delivered) {
        tokens = Math.max(tokens, delivered);
    }

    /** Records how many tokens the attempt that has just ended delivered. */
    void updateAttemptTokens(int delivered) {
        updateTokens(tokensBeforeAttempt + delivered);
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

    void scheduleRetryAt(long nanos) {
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

    /** Records that the current attempt is proven not to have run. */
    void recordNotRun() {
        provenNotRunAttempts++;
    }

    /** Returns whether every attempt so far is proven not to have run. */
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

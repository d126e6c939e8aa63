package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.model.UpstreamId;
import org.jspecify.annotations.Nullable;

/** A request that is queued, running or waiting for a retry at this instance. */
final class QueuedRequest {
    private final DispatchRequest mRequest;
    private final long mArrival;
    private final long mArrivedAt;
    private long mQueuedAt;
    private int mAttempt;
    private int mTokens;
    private int mTokensBeforeAttempt;
    private double mChargedCost;
    private long mRetryAt = Long.MAX_VALUE;
    private @Nullable UpstreamLoad mUpstream;
    private @Nullable UpstreamLoad mFailedUpstream;
    private boolean mMayHaveRun;
    private int mProvenNotRunAttempts;

    QueuedRequest(DispatchRequest request, long arrival, long nowNanos) {
        mRequest = request;
        mArrival = arrival;
        mArrivedAt = nowNanos;
        mQueuedAt = nowNanos;
    }

    DispatchRequest request() {
        return mRequest;
    }

    /** Returns the sequence number of the request in order of arrival. */
    long arrival() {
        return mArrival;
    }

    long arrivedAt() {
        return mArrivedAt;
    }

    long queuedAt() {
        return mQueuedAt;
    }

    int attempt() {
        return mAttempt;
    }

    int tokens() {
        return mTokens;
    }

    /** Records how many tokens of the complete response have been delivered; never decreases. */
    void updateTokens(int delivered) {
        mTokens = Math.max(mTokens, delivered);
    }

    /** Records how many tokens the attempt that has just ended delivered. */
    void updateAttemptTokens(int delivered) {
        updateTokens(mTokensBeforeAttempt + delivered);
    }

    double chargedCost() {
        return mChargedCost;
    }

    @Nullable UpstreamLoad upstream() {
        return mUpstream;
    }

    @Nullable UpstreamLoad failedUpstream() {
        return mFailedUpstream;
    }

    boolean runsAt(UpstreamId id) {
        return mUpstream != null && mUpstream.spec().id().equals(id);
    }

    void start(UpstreamLoad target, double cost) {
        mUpstream = target;
        mChargedCost = cost;
        mAttempt++;
        mTokensBeforeAttempt = mTokens;
        mRetryAt = Long.MAX_VALUE;
    }

    void stop() {
        mFailedUpstream = mUpstream;
        mUpstream = null;
    }

    void scheduleRetryAt(long nanos) {
        mRetryAt = nanos;
        mQueuedAt = nanos;
    }

    boolean waitsForRetry() {
        return mRetryAt != Long.MAX_VALUE;
    }

    long retryAt() {
        return mRetryAt;
    }

    void retryStarted() {
        mRetryAt = Long.MAX_VALUE;
    }

    /** Records that the current attempt is proven not to have run. */
    void recordNotRun() {
        mProvenNotRunAttempts++;
    }

    /** Returns whether every attempt so far is proven not to have run. */
    boolean isProvenNotRun() {
        return mAttempt == mProvenNotRunAttempts;
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void recordMayHaveRun() {
        mMayHaveRun = true;
    }
}

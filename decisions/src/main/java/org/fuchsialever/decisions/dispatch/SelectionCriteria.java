package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.model.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Properties of a request that matter for the selection of an upstream. One object is reused for
 * all requests, so that a selection allocates no memory.
 */
final class SelectionCriteria {
    private long mPrefixHash;
    private int mPromptTokens;
    private boolean mToleratesUpstreamLoss;
    private boolean mWithinQuota;
    private Priority mPriority = Priority.LIVE;
    private @Nullable FailureDomain mAvoidedDomain;
    private @Nullable UpstreamLoad mAvoidedUpstream;

    void set(DispatchRequest request, @Nullable UpstreamLoad failedUpstream, boolean hasQuota) {
        mWithinQuota = hasQuota;
        mPrefixHash = request.prefixHash();
        mPromptTokens = request.promptTokens();
        mToleratesUpstreamLoss = request.resumable() || request.route().repeatable();
        mPriority = request.route().priority();
        mAvoidedUpstream = failedUpstream;
        mAvoidedDomain = failedUpstream == null ? null : failedUpstream.spec().domain();
    }

    long prefixHash() {
        return mPrefixHash;
    }

    int promptTokens() {
        return mPromptTokens;
    }

    /** Returns whether the request can be resumed or repeated if its upstream is lost. */
    boolean toleratesUpstreamLoss() {
        return mToleratesUpstreamLoss;
    }

    /** Returns whether the team is below its quota, so that no slot needs to be free. */
    boolean isWithinQuota() {
        return mWithinQuota;
    }

    Priority priority() {
        return mPriority;
    }

    boolean avoids(UpstreamLoad load) {
        return load == mAvoidedUpstream;
    }

    boolean avoidsDomainOf(UpstreamLoad load) {
        return mAvoidedDomain != null && mAvoidedDomain.equals(load.spec().domain());
    }
}

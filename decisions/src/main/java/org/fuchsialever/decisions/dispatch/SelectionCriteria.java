package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.model.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Properties of a request that matter for the selection of an upstream. One object is reused for
 * all requests, so that a selection allocates no memory.
 */
final class SelectionCriteria {
    private long prefixHash;
    private int promptTokens;
    private boolean toleratesUpstreamLoss;
    private boolean withinQuota;
    private Priority priority = Priority.LIVE;
    private @Nullable FailureDomain avoidedDomain;
    private @Nullable UpstreamLoad avoidedUpstream;

    void set(DispatchRequest request, @Nullable UpstreamLoad failedUpstream, boolean hasQuota) {
        withinQuota = hasQuota;
        prefixHash = request.prefixHash();
        promptTokens = request.promptTokens();
        toleratesUpstreamLoss = request.resumable() || request.route().repeatable();
        priority = request.route().priority();
        avoidedUpstream = failedUpstream;
        avoidedDomain = failedUpstream == null ? null : failedUpstream.spec().domain();
    }

    long prefixHash() {
        return prefixHash;
    }

    int promptTokens() {
        return promptTokens;
    }

    /** Returns whether the request can be resumed or repeated if its upstream is lost. */
    boolean toleratesUpstreamLoss() {
        return toleratesUpstreamLoss;
    }

    /** Returns whether the team is below its quota, so that no slot needs to be free. */
    boolean isWithinQuota() {
        return withinQuota;
    }

    Priority priority() {
        return priority;
    }

    boolean avoids(UpstreamLoad load) {
        return load == avoidedUpstream;
    }

    boolean avoidsDomainOf(UpstreamLoad load) {
        return avoidedDomain != null && avoidedDomain.equals(load.spec().domain());
    }
}

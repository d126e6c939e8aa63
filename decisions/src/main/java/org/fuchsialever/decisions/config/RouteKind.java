package org.fuchsialever.decisions.config;

/** Kind of traffic that a route serves. */
public enum RouteKind {
    /** Model calls of live callers. */
    LIVE(UpstreamKind.ENGINE),
    /** Calls of a plain HTTP service. */
    PLAIN(UpstreamKind.PLAIN),
    /** Rollouts for trainers. */
    ROLLOUT(UpstreamKind.ENGINE);

    private final UpstreamKind mUpstreamKind;

    RouteKind(UpstreamKind upstreamKind) {
        mUpstreamKind = upstreamKind;
    }

    /** Returns the kind of upstream that this kind of route needs. */
    public UpstreamKind upstreamKind() {
        return mUpstreamKind;
    }
}

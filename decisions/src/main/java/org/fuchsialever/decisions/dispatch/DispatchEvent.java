package org.fuchsialever.decisions.dispatch;

import java.util.List;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;

/** Input of the dispatch duty. */
public sealed interface DispatchEvent {

    /** A caller sent a request. */
    record RequestArrived(DispatchRequest request) implements DispatchEvent {}

    /**
     * An attempt has delivered tokens or bytes; {@code tokens} is the total for the complete
     * response.
     */
    record AttemptProgressed(RequestId request, int attempt, int tokens) implements DispatchEvent {}

    /** An attempt has ended. */
    record AttemptEnded(RequestId request, int attempt, AttemptReport report)
            implements DispatchEvent {}

    /** The caller disconnected or its key was withdrawn; the request is cancelled. */
    record RequestCancelled(RequestId request) implements DispatchEvent {}

    /** An upstream reported its load. */
    record LoadReported(UpstreamId upstream, LoadReport report) implements DispatchEvent {}

    /** An upstream reported that prompts with this prefix hash are in its cache, or no longer. */
    record CacheReported(UpstreamId upstream, long prefixHash, boolean stored)
            implements DispatchEvent {}

    /** An upstream accepts no new requests from now on. */
    record UpstreamLeaving(UpstreamId upstream) implements DispatchEvent {}

    /** A connection to an upstream timed out and a new one was tried. */
    record UpstreamProbed(UpstreamId upstream, boolean alive) implements DispatchEvent {}

    /** A new configuration snapshot takes effect. */
    record ConfigChanged(ConfigSnapshot snapshot) implements DispatchEvent {}

    /** Another instance reported the decayed cost that it has served for the teams of a pool. */
    record SharesReceived(String instance, PoolName pool, List<TeamCost> costs)
            implements DispatchEvent {}

    /** Draining starts: new and queued requests are refused, running ones finish. */
    record DrainStarted() implements DispatchEvent {}

    /**
     * Cost and demand of one team at one instance.
     *
     * @param cost decayed sum of prompt and generated tokens
     * @param demand number of queued and running requests
     */
    record TeamCost(TeamName team, double cost, int demand) {}
}

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

    /** An attempt has delivered tokens or bytes; {@code tokens} counts from the whole answer. */
    record AttemptProgressed(RequestId request, int attempt, int tokens) implements DispatchEvent {}

    /** An attempt has ended. */
    record AttemptEnded(RequestId request, int attempt, AttemptReport report)
            implements DispatchEvent {}

    /** The caller has gone or its key was withdrawn; its work is to be cancelled. */
    record RequestCancelled(RequestId request) implements DispatchEvent {}

    /** An upstream reported its load. */
    record LoadReported(UpstreamId upstream, LoadReport report) implements DispatchEvent {}

    /** An upstream reported that prompts with this prefix hash are in its cache, or no longer. */
    record CacheReported(UpstreamId upstream, long prefixHash, boolean stored)
            implements DispatchEvent {}

    /** An upstream takes no new work from now on. */
    record UpstreamLeaving(UpstreamId upstream) implements DispatchEvent {}

    /** A connection to an upstream went silent and a fresh one was tried. */
    record UpstreamProbed(UpstreamId upstream, boolean alive) implements DispatchEvent {}

    /** A new snapshot is in force. */
    record ConfigChanged(ConfigSnapshot snapshot) implements DispatchEvent {}

    /** Another instance stated the decayed cost that it has served for teams of a pool. */
    record SharesReceived(String instance, PoolName pool, List<TeamCost> costs)
            implements DispatchEvent {}

    /** No new requests are taken; queued ones are refused and running ones finish. */
    record DrainStarted() implements DispatchEvent {}

    /**
     * What an instance serves for a team.
     *
     * @param team the team
     * @param cost decayed sum of prompt and generated tokens
     * @param demand requests that wait or run
     */
    record TeamCost(TeamName team, double cost, int demand) {}
}

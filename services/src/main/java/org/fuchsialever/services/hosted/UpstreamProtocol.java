package org.fuchsialever.services.hosted;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Predicate;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.services.exchange.ExchangeRequest;

/** How an instance speaks to upstreams. */
public interface UpstreamProtocol {

    /**
     * Returns the header fields of a forwarded call.
     *
     * @param received what the caller sent
     * @param upstream the upstream that must run it
     * @param team the team of the caller's key, empty on open routes
     * @param remainingMillis how long the caller still waits
     * @param afterEvent the last event that the caller has, empty if there is none
     */
    HttpHeaders forwardHeaders(
            HttpHeaders received,
            FleetUpstream upstream,
            String team,
            long remainingMillis,
            String afterEvent);

    /**
     * Returns the header fields that generate the text of an item.
     *
     * @param item the item
     * @param host the host of its route
     * @param upstream the upstream that must run it
     * @param team the team that submitted it
     * @param remainingMillis how long the upstream may work on it
     * @param afterEvent the last event that is known already, empty if there is none
     */
    HttpHeaders itemHeaders(
            BatchItem item,
            String host,
            FleetUpstream upstream,
            String team,
            long remainingMillis,
            String afterEvent);

    /** Returns the header fields of a call that scores a text. */
    HttpHeaders scoringHeaders(ScoringCall call, FleetUpstream upstream, long remainingMillis);

    /** Returns whether a response answers the request with the given identity. */
    Predicate<ExchangeRequest.ResponseHead> responseMatcher(String requestId);

    /** Reads the head of an answer. */
    UpstreamResponseHead readResponseHead(int status, HttpHeaders headers);

    /** Removes the header fields of an answer that concern one connection only. */
    HttpHeaders responseHeaders(HttpHeaders received);

    /** Returns the name of the line that names the weight version of an event. */
    String versionFieldName();
}

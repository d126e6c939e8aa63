package org.fuchsialever.services.hosted;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Function;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.exchange.ResponseMatch;

/** The protocol between instances and upstreams. */
public interface UpstreamProtocol {

    /**
     * Returns the header fields of a forwarded call.
     *
     * @param received the header fields of the caller
     * @param upstream the upstream that must execute the call
     * @param team the team of the caller's key, empty on open routes
     * @param remainingMillis how long the caller still waits
     * @param afterEvent ID of the last event that the caller has received, empty if there is none
     */
    HttpHeaders forwardHeaders(
            HttpHeaders received,
            FleetUpstream upstream,
            String team,
            long remainingMillis,
            String afterEvent);

    /**
     * Returns the header fields of a call that generates the text of an item.
     *
     * @param host the host of the item's route
     * @param upstream the upstream that must execute the call
     * @param team the team that submitted the item
     * @param remainingMillis how long the upstream may take
     * @param afterEvent ID of the last event that was received, empty if there is none
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

    /** Returns a test of whether a response belongs to the request with the given ID. */
    Function<ExchangeRequest.ResponseHead, ResponseMatch> responseMatcher(String requestId);

    /** Decodes the head of a response. */
    UpstreamResponseHead readResponseHead(int status, HttpHeaders headers);

    /** Returns the header fields of a response without hop-by-hop fields. */
    HttpHeaders responseHeaders(HttpHeaders received);

    /** Returns the name of the event field that holds the weight version of an event. */
    String versionFieldName();
}

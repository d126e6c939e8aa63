package org.fuchsialever.node.batch;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Option;
import java.util.function.Function;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.exchange.ResponseMatch;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;

/** A protocol whose responses are all signed and name no weight version. */
public final class UpstreamProtocolStub implements UpstreamProtocol {
    private static final HttpHeaders NONE = new DefaultHttpHeaders();

    @Override
    public HttpHeaders forwardHeaders(
            HttpHeaders received,
            FleetUpstream upstream,
            String team,
            long remainingMillis,
            String afterEvent) {
        return NONE;
    }

    @Override
    public HttpHeaders itemHeaders(
            BatchItem item,
            String host,
            FleetUpstream upstream,
            String team,
            long remainingMillis,
            String afterEvent) {
        return NONE;
    }

    @Override
    public HttpHeaders scoringHeaders(
            ScoringCall call, FleetUpstream upstream, long remainingMillis) {
        return NONE;
    }

    @Override
    public Function<ExchangeRequest.ResponseHead, ResponseMatch> responseMatcher(String requestId) {
        return head -> ResponseMatch.NAMED;
    }

    @Override
    public UpstreamResponseHead readResponseHead(int status, HttpHeaders headers) {
        return new UpstreamResponseHead(status, false, false, "signature", Option.none(), 7, false);
    }

    @Override
    public HttpHeaders responseHeaders(HttpHeaders received) {
        return received;
    }

    @Override
    public String versionFieldName() {
        return "version";
    }
}

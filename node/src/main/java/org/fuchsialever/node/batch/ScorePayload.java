package org.fuchsialever.node.batch;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.function.Consumer;
import org.fuchsialever.decisions.batch.ScoringCall;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;

/** Scores the text of an item. */
final class ScorePayload implements ForwardCallHandler {
    private final ScoringCall call;
    private final long timeoutMillis;
    private final UpstreamProtocol protocol;
    private final Consumer<String> onScore;
    private final Consumer<String> onFailure;
    private volatile String score = "";

    ScorePayload(
            ScoringCall call,
            long timeoutMillis,
            UpstreamProtocol protocol,
            Consumer<String> onScore,
            Consumer<String> onFailure) {
        this.call = call;
        this.timeoutMillis = timeoutMillis;
        this.protocol = protocol;
        this.onScore = onScore;
        this.onFailure = onFailure;
    }

    @Override
    public String requestId() {
        return call.id();
    }

    @Override
    public String meteredTeam() {
        return "";
    }

    @Override
    public ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        Duration patience = Duration.ofMillis(timeoutMillis);
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                "POST",
                call.path(),
                protocol.scoringHeaders(call, upstream, timeoutMillis),
                call.body(),
                protocol.responseMatcher(call.id()),
                patience,
                patience);
    }

    @Override
    public AttemptReader reader(int attempt) {
        return new AttemptReader(protocol) {
            @Override
            protected void handleHead(UpstreamResponseHead head, HttpHeaders headers) {}

            @Override
            protected void handleContent(byte[] bytes) {}

            @Override
            protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
                UpstreamResponseHead head = response();
                if (outcome != AttemptOutcome.ANSWERED || head == null) {
                    return outcome;
                }
                if (!isSuccess()) {
                    return AttemptOutcome.REJECTED;
                }
                score = head.signature();
                return outcome;
            }
        };
    }

    @Override
    public void deliver(int attempt) {
        if (score.isEmpty()) {
            onFailure.accept("REJECTED");
        } else {
            onScore.accept(score);
        }
    }

    @Override
    public void refuse(ForwardRefusal reason, long retryAfterMillis) {
        onFailure.accept(reason.name());
    }
}

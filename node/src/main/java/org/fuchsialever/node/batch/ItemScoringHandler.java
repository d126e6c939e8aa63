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
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;

/** Scores the text of an item. */
final class ItemScoringHandler implements ForwardCallHandler {
    private final ScoringCall mCall;
    private final long mTimeoutMillis;
    private final UpstreamProtocol mProtocol;
    private final Consumer<String> mOnScore;
    private final Consumer<ForwardRefusal> mOnFailure;
    private volatile String mScore = "";

    ItemScoringHandler(
            ScoringCall call,
            long timeoutMillis,
            UpstreamProtocol protocol,
            Consumer<String> onScore,
            Consumer<ForwardRefusal> onFailure) {
        mCall = call;
        mTimeoutMillis = timeoutMillis;
        mProtocol = protocol;
        mOnScore = onScore;
        mOnFailure = onFailure;
    }

    @Override
    public String requestId() {
        return mCall.id();
    }

    @Override
    public String meteredTeam() {
        return "";
    }

    @Override
    public ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        Duration timeout = Duration.ofMillis(mTimeoutMillis);
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                "POST",
                mCall.path(),
                mProtocol.scoringHeaders(mCall, upstream, mTimeoutMillis),
                mCall.body(),
                mCall.id(),
                mProtocol.responseMatcher(mCall.id()),
                timeout,
                timeout);
    }

    @Override
    public AttemptReader reader(int attempt) {
        return new AttemptReader(mProtocol) {
            @Override
            protected void handleHead(UpstreamResponseHead head, HttpHeaders headers) {}

            @Override
            protected ContentVerdict handleContent(byte[] bytes) {
                // The score is in the head, so the body keeps nothing alive.
                return ContentVerdict.NO_PROGRESS;
            }

            @Override
            protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
                UpstreamResponseHead head = response();
                if (outcome != AttemptOutcome.ANSWERED || head == null) {
                    return outcome;
                }
                if (!isSuccess()) {
                    return AttemptOutcome.FAILED;
                }
                mScore = head.signature();
                return outcome;
            }
        };
    }

    @Override
    public void deliver(int attempt) {
        mOnScore.accept(mScore);
    }

    @Override
    public void refuse(ForwardRefusal reason, long retryAfterMillis) {
        mOnFailure.accept(reason);
    }
}

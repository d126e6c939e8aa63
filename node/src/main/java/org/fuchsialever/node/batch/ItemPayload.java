package org.fuchsialever.node.batch;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ServerSentEvent;
import org.fuchsialever.node.forward.ServerSentEventParser;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import org.fuchsialever.services.hosted.UpstreamResponseHead;

/** Generates the text of an item, over several attempts if need be. */
final class ItemPayload implements ForwardCallHandler {
    /** A full engine starts a run within seconds or refuses it. */
    private static final Duration FIRST_BYTE = Duration.ofMillis(4_000);

    /** An engine that is four times slower than usual makes an event in 0.2 s. */
    private static final Duration NEXT_BYTE = Duration.ofMillis(1_500);

    private final BatchItem item;
    private final String host;
    private final String team;
    private final long giveUpMillis;
    private final UpstreamProtocol protocol;
    private final BiConsumer<String, List<Long>> onText;
    private final Consumer<String> onFailure;
    private final List<String> events = new ArrayList<>();
    private final List<Long> versions = new ArrayList<>();
    private long lastEvent = -1;
    private int current;

    ItemPayload(
            BatchItem item,
            String host,
            String team,
            long giveUpMillis,
            UpstreamProtocol protocol,
            BiConsumer<String, List<Long>> onText,
            Consumer<String> onFailure) {
        this.item = item;
        this.host = host;
        this.team = team;
        this.giveUpMillis = giveUpMillis;
        this.protocol = protocol;
        this.onText = onText;
        this.onFailure = onFailure;
    }

    @Override
    public String requestId() {
        return item.id();
    }

    @Override
    public String meteredTeam() {
        return "";
    }

    @Override
    public synchronized ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
        return new ExchangeRequest(
                upstream.host(),
                upstream.port(),
                "POST",
                item.path(),
                protocol.itemHeaders(
                        item,
                        host,
                        upstream,
                        team,
                        Math.min(remainingMillis, giveUpMillis),
                        lastEvent < 0 ? "" : Long.toString(lastEvent)),
                item.body(),
                protocol.responseMatcher(item.id()),
                FIRST_BYTE,
                NEXT_BYTE);
    }

    @Override
    public synchronized AttemptReader reader(int attempt) {
        current = attempt;
        return new Reader(attempt);
    }

    @Override
    public synchronized void deliver(int attempt) {
        onText.accept(String.join("\n", events), List.copyOf(versions));
    }

    @Override
    public void refuse(ForwardRefusal reason, long retryAfterMillis) {
        onFailure.accept(reason.name());
    }

    private synchronized boolean append(int attempt, ServerSentEvent event, long version) {
        // An attempt that was replaced may still get events until its connection is closed.
        if (attempt != current) {
            return false;
        }
        if (!event.id().matches("[0-9]{1,18}")) {
            return false;
        }
        long number = Long.parseLong(event.id());
        if (lastEvent >= 0 && number <= lastEvent) {
            return true;
        }
        if (lastEvent >= 0 && number != lastEvent + 1) {
            return false;
        }
        lastEvent = number;
        events.add(event.data());
        if (version > 0 && !versions.contains(version)) {
            versions.add(version);
        }
        return true;
    }

    /** Reads the events of one attempt. */
    private final class Reader extends AttemptReader {
        private final int attempt;
        private final ServerSentEventParser assembler =
                new ServerSentEventParser(protocol.versionFieldName());
        private long version;
        private boolean broken;

        Reader(int attempt) {
            super(protocol);
            this.attempt = attempt;
        }

        @Override
        protected void handleHead(UpstreamResponseHead head, HttpHeaders headers) {
            version = head.version();
        }

        @Override
        protected void handleContent(byte[] bytes) {
            if (!isSuccess() || broken) {
                return;
            }
            for (ServerSentEvent event : assembler.feed(bytes)) {
                version = event.version() > 0 ? event.version() : version;
                broken |= !append(attempt, event, version);
            }
        }

        @Override
        protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
            boolean torn = broken || assembler.hasIncompleteEvent();
            if (outcome == AttemptOutcome.ANSWERED && (torn || !isSuccess())) {
                return isSuccess() ? AttemptOutcome.MALFORMED : AttemptOutcome.REJECTED;
            }
            return outcome;
        }

        @Override
        protected long version() {
            return version;
        }
    }
}

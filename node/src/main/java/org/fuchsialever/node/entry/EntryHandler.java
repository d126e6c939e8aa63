package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardCallKind;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.RequestKind;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.batch.BatchReply;
import org.fuchsialever.node.batch.BatchService;
import org.fuchsialever.node.directory.Directory;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.services.hosted.EntryProtocol;
import org.fuchsialever.services.hosted.EntryRequest;
import org.fuchsialever.services.hosted.UpstreamProtocol;
import reactor.core.publisher.Mono;

/** Decides what a request asks for and who answers it. */
final class EntryHandler {
    /** A caller that the shutdown turns away finds another instance at once. */
    private static final long DRAIN_RETRY_MILLIS = 50;

    /** The store answers the first read within this time unless it is down. */
    private static final long NO_MANIFEST_RETRY_MILLIS = 300;

    private final Directory directory;
    private final ForwardPort forward;
    private final BatchService batches;
    private final EntryProtocol protocol;
    private final UpstreamProtocol upstreams;
    private final Refusals refusals;
    private final DrainSignal drain;
    private final TimeSource time;

    EntryHandler(
            Directory directory,
            ForwardPort forward,
            BatchService batches,
            EntryProtocol protocol,
            UpstreamProtocol upstreams,
            Refusals refusals,
            DrainSignal drain,
            TimeSource time) {
        this.directory = directory;
        this.forward = forward;
        this.batches = batches;
        this.protocol = protocol;
        this.upstreams = upstreams;
        this.refusals = refusals;
        this.drain = drain;
        this.time = time;
    }

    /** Returns the refusal of a request by its head, or how to answer it. */
    Either<EntryAnswer, Accepted> check(EntryRequest head) {
        String id = head.requestId();
        if (directory.manifest().isEmpty()) {
            return Either.left(
                    refusals.refusal(
                            id, EntryRefusal.NO_MANIFEST, "starting", NO_MANIFEST_RETRY_MILLIS));
        }
        Manifest manifest = directory.manifest().get();
        if (head.kind() != EntryRequest.Kind.CALL) {
            return team(manifest, head)
                    .map(team -> new Accepted(head, Option.none(), team, manifest));
        }
        Option<ForwardRoute> route = manifest.route(head.host(), head.path());
        if (route.isEmpty()) {
            return Either.left(
                    refusals.refusal(
                            id,
                            EntryRefusal.NO_ROUTE,
                            head.host() + head.path() + " version " + manifest.version()));
        }
        if (route.get().open()) {
            return Either.right(new Accepted(head, route, "", manifest));
        }
        return team(manifest, head).map(team -> new Accepted(head, route, team, manifest));
    }

    private Either<EntryAnswer, String> team(Manifest manifest, EntryRequest head) {
        if (!manifest.requiresKeys()) {
            return Either.right("");
        }
        return head.key()
                .flatMap(manifest::teamOf)
                .toEither(
                        () ->
                                refusals.refusal(
                                        head.requestId(),
                                        EntryRefusal.UNKNOWN_KEY,
                                        "version " + manifest.version()));
    }

    /** Answers a request whose head was accepted. */
    Mono<EntryAnswer> answer(
            Accepted accepted, String method, String uri, HttpHeaders headers, byte[] body) {
        EntryRequest head = accepted.head();
        return switch (head.kind()) {
            case READINESS -> Mono.empty();
            case READ_RESULTS ->
                    batches.results(
                                    head.batchId(),
                                    accepted.team(),
                                    head.fromPosition(),
                                    head.waitMillis())
                            .map(reply -> batchAnswer(head, reply));
            case READ_ITEM ->
                    batches.itemBody(head.batchId(), accepted.team(), head.itemId())
                            .map(reply -> batchAnswer(head, reply));
            case END_BATCH ->
                    batches.end(head.batchId(), accepted.team())
                            .map(reply -> batchAnswer(head, reply));
            case CALL -> call(accepted, method, uri, headers, body);
        };
    }

    private Mono<EntryAnswer> call(
            Accepted accepted, String method, String uri, HttpHeaders headers, byte[] body) {
        EntryRequest head = accepted.head();
        ForwardRoute route = accepted.route().get();
        if (route.kind() == RequestKind.ROLLOUT) {
            return submit(accepted, method, body);
        }
        EntryCall call =
                new EntryCall(head.requestId(), route, accepted.team(), method, uri, headers, body);
        long now = time.nanoTime();
        long patience =
                Math.min(
                        head.deadlineMillis().getOrElse(route.timeoutMillis()),
                        route.timeoutMillis());
        return Mono.create(
                sink -> {
                    long number =
                            forward.submit(
                                    assigned -> work(assigned, route, now, patience),
                                    new LivePayload(call, upstreams, refusals, sink));
                    sink.onCancel(() -> forward.cancel(number));
                });
    }

    private static ForwardCall work(
            long number, ForwardRoute route, long now, long patienceMillis) {
        long hedgeAfter =
                route.kind().isStreamed()
                        ? Duty.NO_TIMER
                        : TimeUnit.MILLISECONDS.toNanos(
                                Math.max(1, route.targetLatencyMillis() / 2));
        return new ForwardCall(
                number,
                ForwardCallKind.LIVE,
                route.shares(),
                route.isIdempotent(),
                route.maxAttempts(),
                "",
                0,
                "",
                route.priority(),
                now,
                now + TimeUnit.MILLISECONDS.toNanos(patienceMillis),
                hedgeAfter);
    }

    private Mono<EntryAnswer> submit(Accepted accepted, String method, byte[] body) {
        EntryRequest head = accepted.head();
        if (!method.equals("POST") || head.requestId().isEmpty()) {
            return Mono.just(refusals.refusal(head.requestId(), EntryRefusal.METHOD, method));
        }
        if (drain.isStarted()) {
            return Mono.just(
                    refusals.refusal(
                            head.requestId(),
                            EntryRefusal.NOT_RUN,
                            "shutting down",
                            DRAIN_RETRY_MILLIS));
        }
        return batches.submit(head.requestId(), accepted.team(), head.host(), head.path(), body)
                .map(reply -> batchAnswer(head, reply));
    }

    private EntryAnswer batchAnswer(EntryRequest head, BatchReply reply) {
        String id = head.requestId().isEmpty() ? head.batchId() : head.requestId();
        if (reply instanceof BatchReply.Accepted) {
            return plain(head, 202, new byte[0], "application/json");
        }
        if (reply instanceof BatchReply.Ended) {
            return plain(head, 200, new byte[0], "application/json");
        }
        if (reply instanceof BatchReply.Results results) {
            return plain(
                    head,
                    200,
                    protocol.writeResults(results.total(), results.results(), results.next()),
                    "application/json");
        }
        if (reply instanceof BatchReply.ItemBody item) {
            return plain(head, 200, item.body(), "application/octet-stream");
        }
        if (reply instanceof BatchReply.Malformed malformed) {
            return refusals.refusal(id, EntryRefusal.MALFORMED, malformed.problem());
        }
        if (reply instanceof BatchReply.IdentityTaken) {
            return refusals.refusal(id, EntryRefusal.IDENTITY_TAKEN, head.path());
        }
        if (reply instanceof BatchReply.NotAccepted refused) {
            return refusals.refusal(
                    id, EntryRefusal.NOT_RUN, refused.reason(), refused.retryAfterMillis());
        }
        if (reply instanceof BatchReply.EffectUnknown unknown) {
            return refusals.refusal(id, EntryRefusal.LATE, unknown.reason());
        }
        return refusals.refusal(id, EntryRefusal.NO_SUBJECT, head.path());
    }

    private EntryAnswer plain(EntryRequest head, int status, byte[] body, String type) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add(refusals.headers(head.requestId()));
        headers.set("Content-Type", type);
        return new EntryAnswer.Whole(status, headers, body);
    }

    /** A request whose route and key are accepted. */
    record Accepted(
            EntryRequest head, Option<ForwardRoute> route, String team, Manifest manifest) {}
}

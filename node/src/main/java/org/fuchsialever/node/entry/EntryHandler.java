package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.forward.CallTraits;
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

/** Checks requests against the manifest, then forwards them or serves them itself. */
final class EntryHandler {
    /** Short, because another instance can serve the retry at once. */
    static final long DRAIN_RETRY_MILLIS = 50;

    static final String SHUTTING_DOWN = "shutting down";

    /** The store responds to the first read within this time unless it is unreachable. */
    private static final long NO_MANIFEST_RETRY_MILLIS = 300;

    /**
     * A call waits a quarter of its target latency for a slot; its caller can then go elsewhere.
     */
    private static final long MAX_WAIT_FRACTION = 4;

    private final Directory mDirectory;
    private final ForwardPort mForward;
    private final BatchService mBatches;
    private final EntryProtocol mProtocol;
    private final UpstreamProtocol mUpstreams;
    private final Refusals mRefusals;
    private final DrainSignal mDrain;
    private final StopTimes mStopTimes;
    private final TimeSource mTime;

    EntryHandler(
            Directory directory,
            ForwardPort forward,
            BatchService batches,
            EntryProtocol protocol,
            UpstreamProtocol upstreams,
            Refusals refusals,
            DrainSignal drain,
            StopTimes stopTimes,
            TimeSource time) {
        mDirectory = directory;
        mForward = forward;
        mBatches = batches;
        mProtocol = protocol;
        mUpstreams = upstreams;
        mRefusals = refusals;
        mDrain = drain;
        mStopTimes = stopTimes;
        mTime = time;
    }

    /** Checks the head of a request; returns its refusal, or its route, team and manifest. */
    Either<EntryResponse, AcceptedRequest> check(EntryRequest head) {
        String id = head.requestId();
        if (mDirectory.manifest().isEmpty()) {
            return Either.left(
                    mRefusals.refusal(
                            id, EntryRefusal.NO_MANIFEST, "starting", NO_MANIFEST_RETRY_MILLIS));
        }
        Manifest manifest = mDirectory.manifest().get();
        if (head.kind() != EntryRequest.Kind.CALL) {
            return team(manifest, head)
                    .map(team -> new AcceptedRequest(head, Option.none(), team, manifest));
        }
        Option<ForwardRoute> route = manifest.route(head.host(), head.path());
        if (route.isEmpty()) {
            return Either.left(
                    mRefusals.refusal(
                            id,
                            EntryRefusal.NO_ROUTE,
                            head.host() + head.path() + " version " + manifest.version()));
        }
        if (route.get().open()) {
            return Either.right(new AcceptedRequest(head, route, "", manifest));
        }
        return team(manifest, head).map(team -> new AcceptedRequest(head, route, team, manifest));
    }

    private Either<EntryResponse, String> team(Manifest manifest, EntryRequest head) {
        if (!manifest.requiresKeys()) {
            return Either.right("");
        }
        return head.key()
                .flatMap(manifest::teamOf)
                .toEither(
                        () ->
                                mRefusals.refusal(
                                        head.requestId(),
                                        EntryRefusal.UNKNOWN_KEY,
                                        "version " + manifest.version()));
    }

    /** Handles a request whose head was accepted. */
    Mono<EntryResponse> handle(
            AcceptedRequest accepted,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            InstanceMemory.Lease memory) {
        EntryRequest head = accepted.head();
        return switch (head.kind()) {
            case READINESS -> Mono.empty();
            case READ_RESULTS ->
                    mBatches.results(
                                    head.batchId(),
                                    accepted.team(),
                                    head.fromPosition(),
                                    mDrain.isStarted() ? 0 : head.waitMillis())
                            .map(reply -> batchResponse(head, reply));
            case READ_ITEM ->
                    mBatches.itemBody(head.batchId(), accepted.team(), head.itemId())
                            .map(reply -> batchResponse(head, reply));
            case END_BATCH ->
                    mBatches.end(head.batchId(), accepted.team())
                            .map(reply -> batchResponse(head, reply));
            case CALL -> call(accepted, method, uri, headers, body, memory);
        };
    }

    private Mono<EntryResponse> call(
            AcceptedRequest accepted,
            String method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            InstanceMemory.Lease memory) {
        EntryRequest head = accepted.head();
        ForwardRoute route = accepted.route().get();
        if (route.kind() == RequestKind.ROLLOUT) {
            return submit(accepted, method, body);
        }
        EntryCall call =
                new EntryCall(
                        head.requestId(),
                        route,
                        accepted.team(),
                        method,
                        uri,
                        headers,
                        body,
                        memory);
        long now = mTime.nanoTime();
        long timeoutMillis =
                Math.min(
                        head.deadlineMillis().getOrElse(route.timeoutMillis()),
                        route.timeoutMillis());
        boolean refused =
                mDrain.since().map(mStopTimes::plan).exists(plan -> !plan.fits(now, timeoutMillis));
        if (refused) {
            return Mono.just(shuttingDown(head));
        }
        return Mono.create(
                sink -> {
                    LiveCallHandler handler =
                            new LiveCallHandler(
                                    call, mUpstreams, mRefusals, mForward::cancel, sink);
                    long number =
                            mForward.submit(
                                    assigned -> {
                                        handler.assignNumber(assigned);
                                        return forwardCall(
                                                assigned,
                                                route,
                                                liveTraits(accepted, route, body.length),
                                                now,
                                                timeoutMillis);
                                    },
                                    handler);
                    sink.onCancel(() -> mForward.cancel(number));
                });
    }

    private static CallTraits liveTraits(
            AcceptedRequest accepted, ForwardRoute route, long bodyBytes) {
        long maxWaitMillis = route.targetLatencyMillis() / MAX_WAIT_FRACTION;
        return new CallTraits(
                accepted.team(),
                accepted.manifest().rank(route, accepted.team()),
                0,
                1,
                TimeUnit.MILLISECONDS.toNanos(maxWaitMillis),
                bodyBytes);
    }

    private static ForwardCall forwardCall(
            long number, ForwardRoute route, CallTraits traits, long now, long timeoutMillis) {
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
                traits,
                route.priority(),
                false,
                now,
                now + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                hedgeAfter);
    }

    private Mono<EntryResponse> submit(AcceptedRequest accepted, String method, byte[] body) {
        EntryRequest head = accepted.head();
        if (!method.equals("POST") || head.requestId().isEmpty()) {
            return Mono.just(mRefusals.refusal(head.requestId(), EntryRefusal.METHOD, method));
        }
        if (mDrain.isStarted()) {
            return Mono.just(shuttingDown(head));
        }
        return mBatches.submit(head.requestId(), accepted.team(), head.host(), head.path(), body)
                .map(reply -> batchResponse(head, reply));
    }

    /** Returns the refusal of a request that nothing was done for, because the instance stops. */
    EntryResponse shuttingDown(EntryRequest head) {
        return mRefusals.refusal(
                head.requestId(), EntryRefusal.NOT_RUN, SHUTTING_DOWN, DRAIN_RETRY_MILLIS);
    }

    private EntryResponse batchResponse(EntryRequest head, BatchReply reply) {
        String id = head.requestId().isEmpty() ? head.batchId() : head.requestId();
        if (reply instanceof BatchReply.Accepted) {
            return response(head, 202, new byte[0], "application/json");
        }
        if (reply instanceof BatchReply.Ended) {
            return response(head, 200, new byte[0], "application/json");
        }
        if (reply instanceof BatchReply.Results results) {
            return response(
                    head,
                    200,
                    mProtocol.writeResults(results.total(), results.results(), results.next()),
                    "application/json");
        }
        if (reply instanceof BatchReply.ItemBody item) {
            return response(head, 200, item.body(), "application/octet-stream");
        }
        if (reply instanceof BatchReply.Malformed malformed) {
            return mRefusals.refusal(id, EntryRefusal.MALFORMED, malformed.problem());
        }
        if (reply instanceof BatchReply.IdentityTaken) {
            return mRefusals.refusal(id, EntryRefusal.IDENTITY_TAKEN, head.path());
        }
        if (reply instanceof BatchReply.NotAccepted refused) {
            return mRefusals.refusal(
                    id, EntryRefusal.NOT_RUN, refused.reason(), refused.retryAfterMillis());
        }
        if (reply instanceof BatchReply.EffectUnknown unknown) {
            return mRefusals.refusal(id, EntryRefusal.LATE, unknown.reason());
        }
        return mRefusals.refusal(id, EntryRefusal.NO_SUBJECT, head.path());
    }

    private EntryResponse response(EntryRequest head, int status, byte[] body, String type) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add(mRefusals.headers(head.requestId()));
        headers.set("Content-Type", type);
        return new EntryResponse.Complete(status, headers, body);
    }

    /** A request whose route and key have been accepted; only calls have a route. */
    record AcceptedRequest(
            EntryRequest head, Option<ForwardRoute> route, String team, Manifest manifest) {}
}

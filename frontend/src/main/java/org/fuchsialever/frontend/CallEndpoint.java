package org.fuchsialever.frontend;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.RequestId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves live model calls and plain calls according to the route table. */
public final class CallEndpoint implements Endpoint {
    /** Forwarded header fields; an allow list, so that no credential is forwarded by oversight. */
    private static final Set<String> FORWARDED =
            Set.of("content-type", "accept", "accept-language");

    private final Supplier<Option<ConfigSnapshot>> mSnapshots;
    private final Supplier<RequestId> mRequestIds;
    private final Authenticator mAuthenticator;
    private final CallPort mCalls;
    private final ResponseWriter mResponseWriter;
    private final ModelCallReader mModelCalls = new ModelCallReader();

    /**
     * Creates the endpoint.
     *
     * @param snapshots returns the current configuration, if there is one
     * @param requestIds returns a new request ID each time
     * @param calls executes calls
     */
    public CallEndpoint(
            Supplier<Option<ConfigSnapshot>> snapshots,
            Supplier<RequestId> requestIds,
            Authenticator authenticator,
            CallPort calls,
            ResponseWriter responseWriter) {
        mSnapshots = snapshots;
        mRequestIds = requestIds;
        mAuthenticator = authenticator;
        mCalls = calls;
        mResponseWriter = responseWriter;
    }

    @Override
    public boolean accepts(String method, String path) {
        return true;
    }

    @Override
    public Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        RequestId id = mRequestIds.get();
        return admit(request, id)
                .flatMap(call -> mCalls.call(call).flatMap(result -> respond(response, id, result)))
                .onErrorResume(
                        RefusedException.class,
                        refused ->
                                response.hasSentHeaders()
                                        ? Mono.error(refused)
                                        : mResponseWriter.refuse(
                                                response, refused.refusal(), id.value()));
    }

    private Mono<Call> admit(HttpServerRequest request, RequestId id) {
        String path = "/" + request.path();
        Option<ConfigSnapshot> snapshot = mSnapshots.get();
        if (snapshot.isEmpty()) {
            return refused(RefusalReason.NOT_READY);
        }
        Option<Route> found =
                snapshot.get().routeFor(path).filter(route -> route.kind() != RouteKind.ROLLOUT);
        if (found.isEmpty()) {
            return refused(RefusalReason.UNKNOWN_ROUTE);
        }
        Route route = found.get();
        HttpHeaders headers = request.requestHeaders();
        Either<RefusalReason, Caller> caller =
                mAuthenticator.authenticate(Option.of(headers.get("Authorization")), route);
        if (caller.isLeft()) {
            return refused(caller.getLeft());
        }
        return RequestBodies.read(request, route.bodyLimitBytes())
                .flatMap(body -> toCall(request, id, route, caller.get(), body));
    }

    private Mono<Call> toCall(
            HttpServerRequest request, RequestId id, Route route, Caller caller, byte[] body) {
        Either<Refusal, CallShape> shape =
                route.kind() == RouteKind.LIVE
                        ? mModelCalls.read(body)
                        : Either.right(CallShape.PLAIN);
        if (shape.isLeft()) {
            return Mono.error(new RefusedException(shape.getLeft()));
        }
        HttpHeaders headers = request.requestHeaders();
        PresentedSecret secret = PresentedSecret.of(Option.of(headers.get("Authorization")));
        List<HeaderField> fields = forwarded(headers);
        if (secret.occursIn(request.uri(), fields, canonical(route, body))) {
            return Mono.error(
                    new RefusedException(
                            Refusal.of(
                                    RefusalReason.MALFORMED_BODY,
                                    "the request contains the secret of its key")));
        }
        return Mono.just(
                new Call(
                        id,
                        route,
                        caller,
                        request.method().name(),
                        request.uri(),
                        fields,
                        body,
                        shape.get(),
                        Option.of(headers.get("Idempotency-Key")),
                        secret));
    }

    /** Removes unnecessary JSON escapes, which could otherwise hide a secret. */
    private byte[] canonical(Route route, byte[] body) {
        return route.kind() == RouteKind.LIVE ? mModelCalls.canonical(body) : body;
    }

    private Mono<Void> respond(
            HttpServerResponse response, RequestId id, Either<Refusal, CallResponse> result) {
        if (result.isLeft()) {
            return mResponseWriter.refuse(response, result.getLeft(), id.value());
        }
        CallResponse callResponse = result.get();
        response.status(callResponse.status()).header("X-Request-Id", id.value());
        for (HeaderField field : callResponse.headers()) {
            response.header(field.name(), field.value());
        }
        Flux<byte[]> body =
                callResponse
                        .body()
                        .onErrorResume(
                                RefusedException.class,
                                refused -> abortStream(refused.refusal(), id.value()));
        return response.send(body.map(Unpooled::wrappedBuffer), chunk -> true).then();
    }

    /**
     * Reports a refusal within a started stream and then closes the connection, so that the caller
     * cannot mistake a truncated response for a complete one.
     */
    private Flux<byte[]> abortStream(Refusal refusal, String requestId) {
        mResponseWriter.count(refusal.reason());
        String event = "data: " + ResponseWriter.errorBody(refusal, requestId) + "\n\n";
        return Flux.concat(
                Flux.just(event.getBytes(StandardCharsets.UTF_8)),
                Flux.error(new RefusedException(refusal)));
    }

    private static List<HeaderField> forwarded(HttpHeaders headers) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : FORWARDED) {
            String value = headers.get(name);
            if (value != null) {
                fields.add(new HeaderField(name, value));
            }
        }
        return fields;
    }

    private static <T> Mono<T> refused(RefusalReason reason) {
        return Mono.error(new RefusedException(Refusal.of(reason)));
    }
}

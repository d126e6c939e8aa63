package org.fuchsialever.services.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.body.BodyMemory;
import org.fuchsialever.services.exchange.ResponseStatus;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Client of one interface of the platform: sends requests and classifies failures. */
final class InterfaceClient {
    /** Objects have no stated size, so only the memory of all bodies bounds them. */
    private static final int MAX_RESPONSE_BYTES = Integer.MAX_VALUE;

    private final String mService;
    private final String mBaseUrl;
    private final HttpClient mReadClient;
    private final HttpClient mChangeClient;
    private final HttpClient mNewConnectionClient;
    private final Duration mTimeout;
    private final BodyMemory mMemory;
    private final MeterRegistry mMeters;

    /**
     * Creates a client.
     *
     * @param service the name of the interface in metrics and messages
     * @param baseUrl URL without a trailing slash, or an empty string if it is not configured
     * @param readClient sends reads and reuses connections
     * @param changeClient sends changes and reuses connections
     * @param newConnectionClient opens a connection for each request
     * @param timeout limit of a whole call
     * @param memory bounds the incomplete bodies of all interfaces
     */
    InterfaceClient(
            String service,
            String baseUrl,
            HttpClient readClient,
            HttpClient changeClient,
            HttpClient newConnectionClient,
            Duration timeout,
            BodyMemory memory,
            MeterRegistry meters) {
        mService = service;
        mBaseUrl = baseUrl;
        mReadClient = readClient;
        mChangeClient = changeClient;
        mNewConnectionClient = newConnectionClient;
        mTimeout = timeout;
        mMemory = memory;
        mMeters = meters;
        for (CallFailure failure : CallFailure.values()) {
            counter(failure);
        }
    }

    /** Encodes a text as one path segment or query value. */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Sends a read; a failure has effect {@code NONE}. */
    <T> Mono<T> read(String path, Function<InterfaceResponse, T> reader) {
        if (mBaseUrl.isEmpty()) {
            return notConfigured();
        }
        return mReadClient
                .get()
                .uri(mBaseUrl + path)
                .response(this::readResponse)
                .single()
                .map(reader)
                .timeout(mTimeout)
                .onErrorMap(
                        failure -> toPlatformException(classify(failure), Effect.NONE, failure));
    }

    /** Sends a change over a pooled connection. */
    <T> Mono<T> change(
            HttpMethod method, String path, byte[] body, Function<InterfaceResponse, T> reader) {
        return change(mChangeClient, method, path, body, () -> true, reader);
    }

    /**
     * Sends a change over a connection of its own. The condition is evaluated in the event loop
     * when the connection is open; if it holds, the request is written in the same step.
     */
    <T> Mono<T> changeWhile(
            BooleanSupplier condition,
            HttpMethod method,
            String path,
            byte[] body,
            Function<InterfaceResponse, T> reader) {
        return change(mNewConnectionClient, method, path, body, condition, reader);
    }

    private <T> Mono<T> change(
            HttpClient client,
            HttpMethod method,
            String path,
            byte[] body,
            BooleanSupplier condition,
            Function<InterfaceResponse, T> reader) {
        if (mBaseUrl.isEmpty()) {
            return notConfigured();
        }
        return Mono.defer(
                () -> {
                    WriteGate gate = new WriteGate(condition);
                    return client.headers(headers -> headers.set("Content-Length", body.length))
                            .request(method)
                            .uri(mBaseUrl + path)
                            .send(
                                    (request, outbound) ->
                                            gate.open()
                                                    ? outbound.sendByteArray(Mono.just(body))
                                                    : Mono.error(new GateClosedException()))
                            .response(this::readResponse)
                            .single()
                            .map(reader)
                            .timeout(mTimeout)
                            .onErrorMap(failure -> changeFailure(gate, failure));
                });
    }

    private PlatformException changeFailure(WriteGate gate, Throwable failure) {
        CallFailure kind = gate.failureBeforeWriting().orElseGet(() -> classify(failure));
        return toPlatformException(kind, kind.effectOfChange(), failure);
    }

    private PlatformException toPlatformException(
            CallFailure kind, Effect effect, Throwable cause) {
        counter(kind).increment();
        return new PlatformException(
                effect, mService + ": " + kind.metricName() + ": " + cause, cause);
    }

    private <T> Mono<T> notConfigured() {
        return Mono.error(
                () ->
                        toPlatformException(
                                CallFailure.NOT_CONFIGURED,
                                Effect.NONE,
                                new IllegalStateException("no address in section [platform]")));
    }

    private Counter counter(CallFailure failure) {
        return mMeters.counter(
                "fuchsialever.platform.failures",
                "service",
                mService,
                "reason",
                failure.metricName());
    }

    private Mono<InterfaceResponse> readResponse(HttpClientResponse response, ByteBufFlux content) {
        return ResponseStatus.valid(response.status().code())
                .flatMap(
                        status ->
                                mMemory.read(content.asByteArray(), MAX_RESPONSE_BYTES)
                                        .map(body -> new InterfaceResponse(status, body)));
    }

    private static CallFailure classify(Throwable failure) {
        if (failure instanceof UnexpectedResponseException unexpected) {
            return unexpected.refused() ? CallFailure.REFUSED : CallFailure.UNEXPECTED_ANSWER;
        }
        if (failure instanceof IllegalArgumentException) {
            // A record rejected a value of the response, such as a name with a space.
            return CallFailure.UNEXPECTED_ANSWER;
        }
        return failure instanceof TimeoutException
                ? CallFailure.TIMEOUT
                : CallFailure.CONNECTION_LOST;
    }

    /**
     * Decides once whether a request is written. A timeout while the connection is being opened
     * closes the gate, so that a request that was reported as not written is not written later.
     */
    private static final class WriteGate {
        private final BooleanSupplier mCondition;
        private State mState = State.WAITING;

        WriteGate(BooleanSupplier condition) {
            mCondition = condition;
        }

        boolean open() {
            return decide(mCondition.getAsBoolean() ? State.WRITING : State.NOT_HOLDING)
                    == State.WRITING;
        }

        Optional<CallFailure> failureBeforeWriting() {
            return Optional.ofNullable(decide(State.ABANDONED).mFailure);
        }

        private synchronized State decide(State next) {
            if (mState == State.WAITING) {
                mState = next;
            }
            return mState;
        }

        private enum State {
            WAITING(null),
            WRITING(null),
            NOT_HOLDING(CallFailure.NOT_HOLDING),
            ABANDONED(CallFailure.NOT_WRITTEN);

            private final @Nullable CallFailure mFailure;

            State(@Nullable CallFailure failure) {
                mFailure = failure;
            }
        }
    }

    private static final class GateClosedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        GateClosedException() {
            super("the request was not written");
        }
    }
}

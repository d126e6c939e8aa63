package org.fuchsialever.node.dispatch;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallPort;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.HeaderField;
import org.fuchsialever.frontend.PresentedSecret;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.node.generation.Generation;
import org.fuchsialever.node.generation.GenerationPort;
import org.fuchsialever.node.generation.GenerationRequest;
import org.fuchsialever.node.keys.RunningCalls;
import org.fuchsialever.node.upstream.UpstreamCall;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Translates calls to events of the dispatch duty, and its actions to attempts and responses. */
final class CallDispatcher implements CallPort, GenerationPort, ActionSink<DispatchAction> {
    private static final List<HeaderField> JSON =
            List.of(new HeaderField("content-type", "application/json"));

    private final Map<RequestId, RunningCall> mRunning = new ConcurrentHashMap<>();
    private final AtomicInteger mAdmittedCount = new AtomicInteger();
    private final Sinks.One<Boolean> mDrained = Sinks.one();
    private final List<Consumer<DispatchAction.PublishShares>> mShareListeners =
            new CopyOnWriteArrayList<>();
    private final List<CallObserver> mObservers = new CopyOnWriteArrayList<>();
    private final int mMaxCalls;
    private final RunningCalls mKeyRegistrations;
    private final ExchangeServices mServices;

    /**
     * Creates a dispatcher.
     *
     * @param maxCalls the maximum number of calls in progress
     * @param keyRegistrations ends calls whose key is withdrawn
     * @param services services that all exchanges share
     */
    CallDispatcher(int maxCalls, RunningCalls keyRegistrations, ExchangeServices services) {
        mMaxCalls = maxCalls;
        mKeyRegistrations = keyRegistrations;
        mServices = services;
    }

    /** Adds a listener for the shares of this instance; called on the thread of the duty. */
    void addShareListener(Consumer<DispatchAction.PublishShares> listener) {
        mShareListeners.add(listener);
    }

    /** Adds an observer of finished calls; called on the thread of the duty. */
    void addCallObserver(CallObserver observer) {
        mObservers.add(observer);
    }

    /** Refuses queued and new calls; completes when no call is queued or running. */
    Mono<Void> drain() {
        mServices.ring().send(new DispatchEvent.DrainStarted());
        return mDrained.asMono().then();
    }

    /** Returns the number of calls that are queued or running. */
    int callsInProgress() {
        return mAdmittedCount.get();
    }

    @Override
    public Mono<Either<Refusal, CallResponse>> call(Call call) {
        if (!call.route().allows(call.caller().team())) {
            mServices
                    .invariants()
                    .reportViolation(
                            Invariant.REQUEST_RUNS_FOR_ITS_TEAM,
                            "request "
                                    + call.id()
                                    + " reached the dispatcher for a team without access");
            return Mono.just(Either.left(Refusal.of(RefusalReason.TEAM_NOT_ALLOWED)));
        }
        boolean engine = call.route().kind() == RouteKind.LIVE;
        if (engine && !call.shape().streamed()) {
            CollectingResponseSink<CallResponse> sink =
                    new CollectingResponseSink<>(new CompleteResponseAssembler());
            return submit(specOf(call), sink, sink.response());
        }
        StreamingResponseSink sink = new StreamingResponseSink();
        return submit(specOf(call), sink, sink.response());
    }

    @Override
    public Mono<Generation> generate(GenerationRequest request) {
        return Mono.defer(
                () -> {
                    CollectingResponseSink<Generation> sink =
                            new CollectingResponseSink<>(new GenerationAssembler());
                    return submit(specOf(request), sink, sink.response())
                            .flatMap(this::toGeneration);
                });
    }

    private Mono<Generation> toGeneration(Either<Refusal, Generation> result) {
        if (result.isRight()) {
            return Mono.just(result.get());
        }
        mServices.meters().generationRefused(result.getLeft().reason());
        return Mono.error(new RefusedException(result.getLeft()));
    }

    @Override
    public void emit(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            RunningCall call = mRunning.get(start.request());
            if (call != null) {
                call.mExchange.startAttempt(start.attempt(), start.upstream());
            }
        } else if (action instanceof DispatchAction.CancelAttempt cancel) {
            RunningCall call = mRunning.get(cancel.request());
            if (call != null) {
                call.mExchange.cancelAttempt(cancel.attempt());
            }
        } else if (action instanceof DispatchAction.PublishShares published) {
            mShareListeners.forEach(listener -> listener.accept(published));
        } else if (action instanceof DispatchAction.Retry retry) {
            mServices.meters().retried(retry.reason());
        } else if (action instanceof DispatchAction.Refuse refuse) {
            remove(refuse.request()).forEach(exchange -> refuse(exchange, refuse));
        } else if (action instanceof DispatchAction.Finish finish) {
            remove(finish.request()).forEach(exchange -> finish(exchange, finish));
        } else if (action instanceof DispatchAction.Drained) {
            mDrained.tryEmitValue(true);
        }
    }

    private void refuse(CallExchange exchange, DispatchAction.Refuse refuse) {
        exchange.refuse(new Refusal(refuse.reason(), refuse.retryAfter(), ""));
        notifyObservers(
                exchange.finishedCall(refuse.reason().outcome(), Option.some(refuse.reason())));
    }

    private void finish(CallExchange exchange, DispatchAction.Finish finish) {
        exchange.finish();
        notifyObservers(exchange.finishedCall(finish.outcome(), Option.none()));
    }

    private void notifyObservers(FinishedCall call) {
        mObservers.forEach(observer -> observer.callFinished(call));
    }

    private <T> Mono<Either<Refusal, T>> submit(
            CallSpec spec, ResponseSink sink, Mono<Either<Refusal, T>> response) {
        if (mAdmittedCount.incrementAndGet() > mMaxCalls) {
            mAdmittedCount.decrementAndGet();
            return Mono.just(Either.left(Refusal.of(RefusalReason.QUEUE_FULL)));
        }
        CallExchange exchange = new CallExchange(spec, sink, mServices);
        RunningCall call = new RunningCall(exchange);
        mRunning.put(exchange.id(), call);
        spec.key()
                .forEach(
                        key ->
                                call.setRegistration(
                                        mKeyRegistrations.register(key, exchange::withdraw)));
        if (!exchange.enqueue()) {
            remove(exchange.id());
        }
        return response;
    }

    private Option<CallExchange> remove(RequestId id) {
        RunningCall call = mRunning.remove(id);
        if (call == null) {
            return Option.none();
        }
        mAdmittedCount.decrementAndGet();
        call.end();
        return Option.some(call.mExchange);
    }

    private CallSpec specOf(Call call) {
        boolean engine = call.route().kind() == RouteKind.LIVE;
        DispatchRequest request =
                new DispatchRequest(
                        call.id(),
                        call.caller().team(),
                        call.route(),
                        call.shape().promptTokens(),
                        call.shape().maxTokens(),
                        call.shape().prefixHash(),
                        engine && call.route().repeatable(),
                        0,
                        mServices.time().nanoTime() + call.route().deadline().toNanos());
        int priority = call.route().priority().engineValue();
        return new CallSpec(
                request,
                call.caller().key(),
                (attempt, upstream, resumeFrom) ->
                        new UpstreamCall(
                                engine ? EngineRequests.attemptId(call.id(), attempt) : call.id(),
                                upstream,
                                call.route().kind().upstreamKind(),
                                call.method(),
                                call.uri(),
                                call.headers(),
                                engine
                                        ? EngineRequests.body(call.body(), priority, resumeFrom)
                                        : call.body(),
                                call.secret()));
    }

    private CallSpec specOf(GenerationRequest generation) {
        DispatchRequest request =
                new DispatchRequest(
                        generation.id(),
                        generation.team(),
                        generation.route(),
                        generation.prompt().length() / 4 + 1,
                        generation.maxTokens(),
                        0,
                        true,
                        generation.urgency(),
                        mServices.time().nanoTime() + generation.route().deadline().toNanos());
        int priority = generation.route().priority().engineValue() + generation.urgency();
        byte[] body = EngineRequests.body(generation);
        return new CallSpec(
                request,
                Option.none(),
                (attempt, upstream, resumeFrom) ->
                        new UpstreamCall(
                                EngineRequests.attemptId(generation.id(), attempt),
                                upstream,
                                UpstreamKind.ENGINE,
                                "POST",
                                "/v1/completions",
                                JSON,
                                EngineRequests.body(body, priority, resumeFrom),
                                PresentedSecret.none()));
    }

    /** A call in progress and its key registration; either may be set or ended first. */
    private static final class RunningCall {
        private final CallExchange mExchange;
        private AutoCloseable mRegistration = () -> {};
        private boolean mEnded;

        private RunningCall(CallExchange exchange) {
            mExchange = exchange;
        }

        private synchronized void setRegistration(AutoCloseable newRegistration) {
            mRegistration = newRegistration;
            if (mEnded) {
                end();
            }
        }

        private synchronized void end() {
            mEnded = true;
            try {
                mRegistration.close();
            } catch (Exception e) {
                throw new IllegalStateException("closing a key registration failed", e);
            }
        }
    }
}

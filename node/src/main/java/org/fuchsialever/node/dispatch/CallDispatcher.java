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

/** Translates calls to events of the dispatch duty, and its actions to attempts and answers. */
final class CallDispatcher implements CallPort, GenerationPort, ActionSink<DispatchAction> {
    private static final List<HeaderField> JSON =
            List.of(new HeaderField("content-type", "application/json"));

    private final Map<RequestId, Running> running = new ConcurrentHashMap<>();
    private final AtomicInteger admitted = new AtomicInteger();
    private final Sinks.One<Boolean> drained = Sinks.one();
    private final List<Consumer<DispatchAction.PublishShares>> shareListeners =
            new CopyOnWriteArrayList<>();
    private final List<CallObserver> observers = new CopyOnWriteArrayList<>();
    private final int maxCalls;
    private final RunningCalls keys;
    private final ExchangeServices services;

    /**
     * Creates a dispatcher.
     *
     * @param maxCalls the most calls in progress
     * @param keys ends calls whose key is withdrawn
     * @param services what the exchanges use
     */
    CallDispatcher(int maxCalls, RunningCalls keys, ExchangeServices services) {
        this.maxCalls = maxCalls;
        this.keys = keys;
        this.services = services;
    }

    /** Adds a listener for what this instance serves; called on the thread of the duty. */
    void onShares(Consumer<DispatchAction.PublishShares> listener) {
        shareListeners.add(listener);
    }

    /** Adds an observer of calls that have ended; called on the thread of the duty. */
    void onFinished(CallObserver observer) {
        observers.add(observer);
    }

    /** Refuses queued and new calls; completes when no call is queued or running. */
    Mono<Void> drain() {
        services.ring().send(new DispatchEvent.DrainStarted());
        return drained.asMono().then();
    }

    /** Returns the number of calls that are queued or running. */
    int callsInProgress() {
        return admitted.get();
    }

    @Override
    public Mono<Either<Refusal, CallResponse>> call(Call call) {
        if (!call.route().allows(call.caller().team())) {
            services.invariants()
                    .reportViolation(
                            Invariant.REQUEST_RUNS_FOR_ITS_TEAM,
                            call.id() + " came to the dispatcher for a team without the route");
            return Mono.just(Either.left(Refusal.of(RefusalReason.TEAM_NOT_ALLOWED)));
        }
        boolean engine = call.route().kind() == RouteKind.LIVE;
        if (engine && !call.shape().streamed()) {
            CollectingTarget<CallResponse> target = new CollectingTarget<>(new WholeAnswerForm());
            return submit(work(call), target, target.answer());
        }
        StreamTarget target = new StreamTarget();
        return submit(work(call), target, target.answer());
    }

    @Override
    public Mono<Generation> generate(GenerationRequest request) {
        return Mono.defer(
                () -> {
                    CollectingTarget<Generation> target =
                            new CollectingTarget<>(new GenerationForm());
                    return submit(work(request), target, target.answer()).flatMap(this::generated);
                });
    }

    private Mono<Generation> generated(Either<Refusal, Generation> result) {
        if (result.isRight()) {
            return Mono.just(result.get());
        }
        services.meters().generationRefused(result.getLeft().reason());
        return Mono.error(new RefusedException(result.getLeft()));
    }

    @Override
    public void emit(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            Running call = running.get(start.request());
            if (call != null) {
                call.exchange.start(start.attempt(), start.upstream());
            }
        } else if (action instanceof DispatchAction.CancelAttempt cancel) {
            Running call = running.get(cancel.request());
            if (call != null) {
                call.exchange.cancelAttempt(cancel.attempt());
            }
        } else if (action instanceof DispatchAction.PublishShares published) {
            shareListeners.forEach(listener -> listener.accept(published));
        } else if (action instanceof DispatchAction.Retry retry) {
            services.meters().retried(retry.reason());
        } else if (action instanceof DispatchAction.Refuse refuse) {
            remove(refuse.request()).forEach(exchange -> refuse(exchange, refuse));
        } else if (action instanceof DispatchAction.Finish finish) {
            remove(finish.request()).forEach(exchange -> finish(exchange, finish));
        } else if (action instanceof DispatchAction.Drained) {
            drained.tryEmitValue(true);
        }
    }

    private void refuse(CallExchange exchange, DispatchAction.Refuse refuse) {
        exchange.refuse(new Refusal(refuse.reason(), refuse.retryAfter(), ""));
        observe(exchange.finishedCall(refuse.reason().outcome(), Option.some(refuse.reason())));
    }

    private void finish(CallExchange exchange, DispatchAction.Finish finish) {
        exchange.finish();
        observe(exchange.finishedCall(finish.outcome(), Option.none()));
    }

    private void observe(FinishedCall call) {
        observers.forEach(observer -> observer.callFinished(call));
    }

    private <T> Mono<Either<Refusal, T>> submit(
            CallWork work, AnswerTarget target, Mono<Either<Refusal, T>> answer) {
        if (admitted.incrementAndGet() > maxCalls) {
            admitted.decrementAndGet();
            return Mono.just(Either.left(Refusal.of(RefusalReason.QUEUE_FULL)));
        }
        CallExchange exchange = new CallExchange(work, target, services);
        Running call = new Running(exchange);
        running.put(exchange.id(), call);
        work.key().forEach(key -> call.registered(keys.register(key, exchange::withdraw)));
        if (!exchange.arrive()) {
            remove(exchange.id());
        }
        return answer;
    }

    private Option<CallExchange> remove(RequestId id) {
        Running call = running.remove(id);
        if (call == null) {
            return Option.none();
        }
        admitted.decrementAndGet();
        call.end();
        return Option.some(call.exchange);
    }

    private CallWork work(Call call) {
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
                        services.time().nanoTime() + call.route().deadline().toNanos());
        int priority = call.route().priority().engineValue();
        return new CallWork(
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

    private CallWork work(GenerationRequest generation) {
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
                        services.time().nanoTime() + generation.route().deadline().toNanos());
        int priority = generation.route().priority().engineValue() + generation.urgency();
        byte[] body = EngineRequests.body(generation);
        return new CallWork(
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

    /** A call in progress and its registration by key, whichever of the two ends first. */
    private static final class Running {
        private final CallExchange exchange;
        private AutoCloseable registration = () -> {};
        private boolean ended;

        private Running(CallExchange exchange) {
            this.exchange = exchange;
        }

        private synchronized void registered(AutoCloseable newRegistration) {
            registration = newRegistration;
            if (ended) {
                end();
            }
        }

        private synchronized void end() {
            ended = true;
            try {
                registration.close();
            } catch (Exception e) {
                throw new IllegalStateException("a registration closes without failures", e);
            }
        }
    }
}

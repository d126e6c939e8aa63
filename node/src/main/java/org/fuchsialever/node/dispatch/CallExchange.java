package org.fuchsialever.node.dispatch;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallAnswer;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.node.upstream.UpstreamException;
import org.fuchsialever.node.upstream.UpstreamPart;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One call in progress: passes the parts of the current attempt to the caller at the caller's pace
 * and reports the end of the attempt to the dispatch duty.
 */
final class CallExchange {
    private final Call call;
    private final Consumer<DispatchEvent> events;
    private final Sinks.One<Either<Refusal, CallAnswer>> answer = Sinks.one();
    private @Nullable FluxSink<byte[]> body;
    private @Nullable Attempt current;
    private boolean answered;
    private boolean finished;

    CallExchange(Call call, Consumer<DispatchEvent> events) {
        this.call = call;
        this.events = events;
    }

    Call call() {
        return call;
    }

    /**
     * Returns the beginning of the answer or a refusal; cancelling reports that the caller left.
     */
    Mono<Either<Refusal, CallAnswer>> answer() {
        return answer.asMono().doOnCancel(this::leave);
    }

    synchronized void start(int number, Flux<UpstreamPart> parts) {
        Attempt attempt = new Attempt(number);
        current = attempt;
        parts.subscribe(attempt);
    }

    synchronized void cancelAttempt(int number) {
        Attempt attempt = current;
        if (attempt != null && attempt.number == number) {
            current = null;
            attempt.cancel();
        }
    }

    /** Ends the call after its last part has been passed on. */
    synchronized void finish() {
        finished = true;
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            sink.complete();
        }
    }

    synchronized void refuse(Refusal refusal) {
        if (finished) {
            return;
        }
        finished = true;
        if (!answered) {
            answered = true;
            answer.tryEmitValue(Either.left(refusal));
            return;
        }
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            sink.error(new RefusedException(refusal));
        }
    }

    private synchronized void attach(FluxSink<byte[]> sink) {
        body = sink;
        sink.onRequest(demand -> requestMore());
        sink.onCancel(this::leave);
        if (finished) {
            sink.complete();
        }
    }

    private synchronized void requestMore() {
        Attempt attempt = current;
        if (attempt != null) {
            attempt.resume();
        }
    }

    private synchronized void leave() {
        if (!finished) {
            finished = true;
            RequestId id = call.id();
            events.accept(new DispatchEvent.CallerLeft(id));
        }
    }

    private synchronized void pass(Attempt attempt, UpstreamPart part) {
        if (attempt != current || finished) {
            return;
        }
        if (part instanceof UpstreamPart.Head head) {
            answered = true;
            Flux<byte[]> content = Flux.create(this::attach);
            answer.tryEmitValue(
                    Either.right(new CallAnswer(head.status(), head.headers(), content)));
        } else if (part instanceof UpstreamPart.Content content) {
            FluxSink<byte[]> sink = body;
            if (sink != null) {
                sink.next(content.bytes());
                attempt.continueIf(sink.requestedFromDownstream() > 0);
            }
        }
    }

    private void end(Attempt attempt, AttemptResult result) {
        AttemptReport report = new AttemptReport(result, 0, 0, -1, 0);
        events.accept(new DispatchEvent.AttemptEnded(call.id(), attempt.number, report));
    }

    /** Requests one part at a time, so that a slow caller slows its upstream down. */
    private final class Attempt extends BaseSubscriber<UpstreamPart> {
        private final int number;
        private boolean paused = true;

        private Attempt(int number) {
            this.number = number;
        }

        @Override
        protected void hookOnSubscribe(Subscription subscription) {
            request(1);
        }

        @Override
        protected void hookOnNext(UpstreamPart part) {
            pass(this, part);
        }

        @Override
        protected void hookOnComplete() {
            end(this, AttemptResult.COMPLETED);
        }

        @Override
        protected void hookOnError(Throwable failure) {
            boolean known = failure instanceof UpstreamException;
            end(
                    this,
                    known ? ((UpstreamException) failure).result() : AttemptResult.CONNECTION_LOST);
        }

        private void continueIf(boolean wanted) {
            if (wanted) {
                request(1);
            } else {
                paused = true;
            }
        }

        private void resume() {
            if (paused) {
                paused = false;
                request(1);
            }
        }
    }
}

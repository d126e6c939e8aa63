package org.fuchsialever.node.samples;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutRefusal;
import org.fuchsialever.frontend.Refusal;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Requests of trainers that wait for a response action of the duty. */
final class PendingRequests {
    private final Map<Long, MonoSink<Either<Refusal, RolloutAction>>> mWaiting =
            new ConcurrentHashMap<>();
    private final AtomicLong mSequence = new AtomicLong();

    /**
     * Sends an event with a new request number and waits for the response.
     *
     * @param offer sends the event; returns false if the ring is full
     */
    Mono<Either<Refusal, RolloutAction>> send(LongPredicate offer, Duration timeout) {
        return Mono.defer(() -> send(mSequence.incrementAndGet(), offer))
                .timeout(timeout)
                .onErrorReturn(
                        TimeoutException.class,
                        Either.left(Refusal.of(RefusalReason.ROLLOUT_NOT_CONFIRMED)));
    }

    void respond(long request, RolloutAction action) {
        complete(request, Either.right(action));
    }

    void refuse(long request, RolloutRefusal reason) {
        complete(request, Either.left(Refusal.of(reasonOf(reason))));
    }

    private Mono<Either<Refusal, RolloutAction>> send(long request, LongPredicate offer) {
        return Mono.<Either<Refusal, RolloutAction>>create(
                        sink -> {
                            mWaiting.put(request, sink);
                            if (!offer.test(request)) {
                                complete(
                                        request, Either.left(Refusal.of(RefusalReason.QUEUE_FULL)));
                            }
                        })
                .doFinally(signal -> mWaiting.remove(request));
    }

    private void complete(long request, Either<Refusal, RolloutAction> result) {
        MonoSink<Either<Refusal, RolloutAction>> sink = mWaiting.remove(request);
        if (sink != null) {
            sink.success(result);
        }
    }

    private static RefusalReason reasonOf(RolloutRefusal reason) {
        return switch (reason) {
            // The commit of a submission may have taken effect before the lease was lost.
            case NOT_HOLDER -> RefusalReason.ROLLOUT_NOT_CONFIRMED;
            case STEP_DIFFERS -> RefusalReason.STEP_DIFFERS;
            case TOO_MANY -> RefusalReason.QUEUE_FULL;
            case GROUP_TOO_LARGE -> RefusalReason.GROUP_TOO_LARGE;
            case CURSOR_BEYOND_END -> RefusalReason.CURSOR_BEYOND_END;
        };
    }
}

package org.fuchsialever.node.dispatch;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Passes an answer on part by part, at the pace of the caller. */
final class StreamTarget extends AnswerTarget {
    private static final byte[] END_OF_STREAM = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Sinks.One<Either<Refusal, CallResponse>> answer = Sinks.one();
    private @Nullable FluxSink<byte[]> body;
    private @Nullable Refusal refusal;
    private boolean answered;
    private boolean events;
    private boolean finished;

    /** Returns the answer; cancelling it, or its body, means that the caller has left. */
    Mono<Either<Refusal, CallResponse>> answer() {
        return answer.asMono().doOnCancel(() -> source().left());
    }

    @Override
    synchronized void head(UpstreamResponsePart.Head head) {
        answered = true;
        Flux<byte[]> content = Flux.create(this::attach);
        answer.tryEmitValue(Either.right(new CallResponse(head.status(), head.headers(), content)));
    }

    @Override
    synchronized void content(byte[] bytes) {
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            sink.next(bytes);
        }
    }

    @Override
    synchronized void event(UpstreamResponsePart.EngineEvent event) {
        events = true;
        String text = "data: " + event.document() + "\n\n";
        content(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    synchronized boolean wantsMore() {
        FluxSink<byte[]> sink = body;
        return !answered || (sink != null && sink.requestedFromDownstream() > 0);
    }

    @Override
    synchronized void finish(Summary summary) {
        finished = true;
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            complete(sink);
        }
    }

    @Override
    synchronized void refuse(Refusal newRefusal) {
        if (!answered) {
            answered = true;
            answer.tryEmitValue(Either.left(newRefusal));
            return;
        }
        refusal = newRefusal;
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            sink.error(new RefusedException(newRefusal));
        }
    }

    private synchronized void attach(FluxSink<byte[]> sink) {
        body = sink;
        Refusal early = refusal;
        if (early != null) {
            sink.error(new RefusedException(early));
        } else if (finished) {
            complete(sink);
        } else {
            sink.onRequest(demand -> source().more());
            sink.onCancel(() -> source().left());
        }
    }

    private void complete(FluxSink<byte[]> sink) {
        if (events) {
            sink.next(END_OF_STREAM);
        }
        sink.complete();
    }
}

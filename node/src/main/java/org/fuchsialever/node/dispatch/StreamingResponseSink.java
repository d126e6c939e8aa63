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

/** Streams a response to the caller part by part, as the caller requests it. */
final class StreamingResponseSink extends ResponseSink {
    private static final byte[] END_OF_STREAM = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final Sinks.One<Either<Refusal, CallResponse>> response = Sinks.one();
    private @Nullable FluxSink<byte[]> body;
    private @Nullable Refusal refusal;
    private boolean responded;
    private boolean isEventStream;
    private boolean finished;

    /** Returns the response; cancelling it, or its body, means that the caller disconnected. */
    Mono<Either<Refusal, CallResponse>> response() {
        return response.asMono().doOnCancel(() -> source().callerDisconnected());
    }

    @Override
    synchronized void writeHead(UpstreamResponsePart.Head head) {
        responded = true;
        Flux<byte[]> content = Flux.create(this::attach);
        response.tryEmitValue(
                Either.right(new CallResponse(head.status(), head.headers(), content)));
    }

    @Override
    synchronized void writeContent(byte[] bytes) {
        FluxSink<byte[]> sink = body;
        if (sink != null) {
            sink.next(bytes);
        }
    }

    @Override
    synchronized void writeEvent(UpstreamResponsePart.EngineEvent event) {
        isEventStream = true;
        String text = "data: " + event.document() + "\n\n";
        writeContent(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    synchronized boolean hasDemand() {
        FluxSink<byte[]> sink = body;
        return !responded || (sink != null && sink.requestedFromDownstream() > 0);
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
        if (!responded) {
            responded = true;
            response.tryEmitValue(Either.left(newRefusal));
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
        Refusal earlierRefusal = refusal;
        if (earlierRefusal != null) {
            sink.error(new RefusedException(earlierRefusal));
        } else if (finished) {
            complete(sink);
        } else {
            sink.onRequest(demand -> source().requestMore());
            sink.onCancel(() -> source().callerDisconnected());
        }
    }

    private void complete(FluxSink<byte[]> sink) {
        if (isEventStream) {
            sink.next(END_OF_STREAM);
        }
        sink.complete();
    }
}

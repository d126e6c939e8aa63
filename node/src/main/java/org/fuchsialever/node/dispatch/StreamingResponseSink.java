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

    private final Sinks.One<Either<Refusal, CallResponse>> mResponse = Sinks.one();
    private @Nullable FluxSink<byte[]> mBody;
    private @Nullable Refusal mRefusal;
    private boolean mResponded;
    private boolean mIsEventStream;
    private boolean mFinished;

    /** Returns the response; cancelling it, or its body, means that the caller disconnected. */
    Mono<Either<Refusal, CallResponse>> response() {
        return mResponse.asMono().doOnCancel(() -> source().callerDisconnected());
    }

    @Override
    synchronized void writeHead(UpstreamResponsePart.Head head) {
        mResponded = true;
        Flux<byte[]> content = Flux.create(this::attach);
        mResponse.tryEmitValue(
                Either.right(new CallResponse(head.status(), head.headers(), content)));
    }

    @Override
    synchronized void writeContent(byte[] bytes) {
        FluxSink<byte[]> sink = mBody;
        if (sink != null) {
            sink.next(bytes);
        }
    }

    @Override
    synchronized void writeEvent(UpstreamResponsePart.EngineEvent event) {
        mIsEventStream = true;
        String text = "data: " + event.document() + "\n\n";
        writeContent(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    synchronized boolean hasDemand() {
        FluxSink<byte[]> sink = mBody;
        return !mResponded || (sink != null && sink.requestedFromDownstream() > 0);
    }

    @Override
    synchronized void finish(Summary summary) {
        mFinished = true;
        FluxSink<byte[]> sink = mBody;
        if (sink != null) {
            complete(sink);
        }
    }

    @Override
    synchronized void refuse(Refusal newRefusal) {
        if (!mResponded) {
            mResponded = true;
            mResponse.tryEmitValue(Either.left(newRefusal));
            return;
        }
        mRefusal = newRefusal;
        FluxSink<byte[]> sink = mBody;
        if (sink != null) {
            sink.error(new RefusedException(newRefusal));
        }
    }

    private synchronized void attach(FluxSink<byte[]> sink) {
        mBody = sink;
        Refusal earlierRefusal = mRefusal;
        if (earlierRefusal != null) {
            sink.error(new RefusedException(earlierRefusal));
        } else if (mFinished) {
            complete(sink);
        } else {
            sink.onRequest(demand -> source().requestMore());
            sink.onCancel(() -> source().callerDisconnected());
        }
    }

    private void complete(FluxSink<byte[]> sink) {
        if (mIsEventStream) {
            sink.next(END_OF_STREAM);
        }
        sink.complete();
    }
}

package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Buffers a response and emits it when it is complete.
 *
 * @param <T> the type of the assembled response
 */
final class CollectingResponseSink<T> extends ResponseSink {
    /** Maximum size of a response that is not streamed, in bytes. */
    private static final long MAX_RESPONSE_BYTES = 4L * 1_024 * 1_024;

    private final Sinks.One<Either<Refusal, T>> mResponse = Sinks.one();
    private final Assembler<T> mAssembler;
    private final StringBuilder mText = new StringBuilder();
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private UpstreamResponsePart.@Nullable Head mHead;
    private @Nullable ObjectNode mLastEvent;

    CollectingResponseSink(Assembler<T> assembler) {
        mAssembler = assembler;
    }

    /** Returns the response; cancelling it means that the caller disconnected. */
    Mono<Either<Refusal, T>> response() {
        return mResponse.asMono().doOnCancel(() -> source().callerDisconnected());
    }

    @Override
    synchronized void writeHead(UpstreamResponsePart.Head newHead) {
        mHead = newHead;
    }

    @Override
    synchronized void writeContent(byte[] content) {
        mBytes.writeBytes(content);
    }

    @Override
    synchronized void writeEvent(UpstreamResponsePart.EngineEvent event) {
        event.chunk().forEach(chunk -> mText.append(chunk.text()));
        mLastEvent = event.document();
    }

    @Override
    synchronized boolean isTooLarge() {
        return (long) mBytes.size() + mText.length() > MAX_RESPONSE_BYTES;
    }

    @Override
    boolean hasDemand() {
        return true;
    }

    @Override
    synchronized void finish(Summary summary) {
        UpstreamResponsePart.Head received = mHead;
        ObjectNode document = mLastEvent;
        if (received == null) {
            refuse(Refusal.of(RefusalReason.ANSWER_LOST));
        } else if (document == null) {
            mResponse.tryEmitValue(mAssembler.fromContent(received, mBytes.toByteArray()));
        } else {
            mResponse.tryEmitValue(mAssembler.fromStream(document, mText.toString(), summary));
        }
    }

    @Override
    synchronized void refuse(Refusal refusal) {
        mResponse.tryEmitValue(Either.left(refusal));
    }

    /** Assembles the buffered parts. */
    interface Assembler<T> {
        /** Returns the response from the last event, the text of all tokens and their ranges. */
        Either<Refusal, T> fromStream(ObjectNode last, String text, Summary summary);

        /** Returns the response of an upstream that sent no stream, such as a client error. */
        Either<Refusal, T> fromContent(UpstreamResponsePart.Head head, byte[] content);
    }
}

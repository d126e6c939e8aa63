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
    private final Sinks.One<Either<Refusal, T>> response = Sinks.one();
    private final Assembler<T> assembler;
    private final StringBuilder text = new StringBuilder();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private UpstreamResponsePart.@Nullable Head head;
    private @Nullable ObjectNode lastEvent;

    CollectingResponseSink(Assembler<T> assembler) {
        this.assembler = assembler;
    }

    /** Returns the response; cancelling it means that the caller disconnected. */
    Mono<Either<Refusal, T>> response() {
        return response.asMono().doOnCancel(() -> source().callerDisconnected());
    }

    @Override
    synchronized void writeHead(UpstreamResponsePart.Head newHead) {
        head = newHead;
    }

    @Override
    synchronized void writeContent(byte[] content) {
        bytes.writeBytes(content);
    }

    @Override
    synchronized void writeEvent(UpstreamResponsePart.EngineEvent event) {
        event.chunk().forEach(chunk -> text.append(chunk.text()));
        lastEvent = event.document();
    }

    @Override
    boolean hasDemand() {
        return true;
    }

    @Override
    synchronized void finish(Summary summary) {
        UpstreamResponsePart.Head received = head;
        ObjectNode document = lastEvent;
        if (received == null) {
            refuse(Refusal.of(RefusalReason.ANSWER_LOST));
        } else if (document == null) {
            response.tryEmitValue(assembler.fromContent(received, bytes.toByteArray()));
        } else {
            response.tryEmitValue(assembler.fromStream(document, text.toString(), summary));
        }
    }

    @Override
    synchronized void refuse(Refusal refusal) {
        response.tryEmitValue(Either.left(refusal));
    }

    /** Assembles the buffered parts. */
    interface Assembler<T> {
        /** Returns the response from the last event, the text of all tokens and their ranges. */
        Either<Refusal, T> fromStream(ObjectNode last, String text, Summary summary);

        /** Returns the response of an upstream that sent no stream, such as a client error. */
        Either<Refusal, T> fromContent(UpstreamResponsePart.Head head, byte[] content);
    }
}

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
final class CollectingTarget<T> extends AnswerTarget {
    private final Sinks.One<Either<Refusal, T>> answer = Sinks.one();
    private final Form<T> form;
    private final StringBuilder text = new StringBuilder();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private UpstreamResponsePart.@Nullable Head head;
    private @Nullable ObjectNode last;

    CollectingTarget(Form<T> assembler) {
        this.form = assembler;
    }

    /** Returns the response; cancelling it means that the caller disconnected. */
    Mono<Either<Refusal, T>> answer() {
        return answer.asMono().doOnCancel(() -> source().left());
    }

    @Override
    synchronized void head(UpstreamResponsePart.Head newHead) {
        head = newHead;
    }

    @Override
    synchronized void content(byte[] content) {
        bytes.writeBytes(content);
    }

    @Override
    synchronized void event(UpstreamResponsePart.EngineEvent event) {
        event.chunk().forEach(chunk -> text.append(chunk.text()));
        last = event.document();
    }

    @Override
    boolean wantsMore() {
        return true;
    }

    @Override
    synchronized void finish(Summary summary) {
        UpstreamResponsePart.Head received = head;
        ObjectNode document = last;
        if (received == null) {
            refuse(Refusal.of(RefusalReason.ANSWER_LOST));
        } else if (document == null) {
            answer.tryEmitValue(form.unread(received, bytes.toByteArray()));
        } else {
            answer.tryEmitValue(form.whole(document, text.toString(), summary));
        }
    }

    @Override
    synchronized void refuse(Refusal refusal) {
        answer.tryEmitValue(Either.left(refusal));
    }

    /** Assembles the buffered parts. */
    interface Form<T> {
        /** Returns the response from the last event, the text of all tokens and their ranges. */
        Either<Refusal, T> whole(ObjectNode last, String text, Summary summary);

        /** Returns the response of an upstream that sent no stream, such as a client error. */
        Either<Refusal, T> unread(UpstreamResponsePart.Head head, byte[] content);
    }
}

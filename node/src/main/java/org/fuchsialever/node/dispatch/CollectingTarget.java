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
 * Collects an answer and hands it over when it is whole.
 *
 * @param <T> the form in which the answer is handed over
 */
final class CollectingTarget<T> extends AnswerTarget {
    private final Sinks.One<Either<Refusal, T>> answer = Sinks.one();
    private final Form<T> form;
    private final StringBuilder text = new StringBuilder();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private UpstreamResponsePart.@Nullable Head head;
    private @Nullable ObjectNode last;

    CollectingTarget(Form<T> form) {
        this.form = form;
    }

    /** Returns the answer; cancelling it means that the caller has left. */
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
        UpstreamResponsePart.Head begun = head;
        ObjectNode document = last;
        if (begun == null) {
            refuse(Refusal.of(RefusalReason.ANSWER_LOST));
        } else if (document == null) {
            answer.tryEmitValue(form.unread(begun, bytes.toByteArray()));
        } else {
            answer.tryEmitValue(form.whole(document, text.toString(), summary));
        }
    }

    @Override
    synchronized void refuse(Refusal refusal) {
        answer.tryEmitValue(Either.left(refusal));
    }

    /** Builds what is handed over. */
    interface Form<T> {
        /** Returns the answer from the last event, the text of all tokens and their ranges. */
        Either<Refusal, T> whole(ObjectNode last, String text, Summary summary);

        /** Returns the answer of an upstream that sent no stream, such as a client error. */
        Either<Refusal, T> unread(UpstreamResponsePart.Head head, byte[] content);
    }
}

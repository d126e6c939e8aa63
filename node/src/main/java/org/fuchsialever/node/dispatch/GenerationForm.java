package org.fuchsialever.node.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.node.generation.Generation;
import org.fuchsialever.node.upstream.UpstreamResponsePart;

/** Assembles the text of a sample. */
final class GenerationForm implements CollectingTarget.Form<Generation> {

    @Override
    public Either<Refusal, Generation> whole(
            ObjectNode last, String text, AnswerTarget.Summary summary) {
        return Either.right(
                new Generation(
                        text, summary.ranges(), summary.promptTokens(), summary.generatedTokens()));
    }

    @Override
    public Either<Refusal, Generation> unread(UpstreamResponsePart.Head head, byte[] content) {
        return Either.left(
                Refusal.of(RefusalReason.UPSTREAM_FAILED, "the engine answered " + head.status()));
    }
}

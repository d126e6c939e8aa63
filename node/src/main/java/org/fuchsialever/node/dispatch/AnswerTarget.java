package org.fuchsialever.node.dispatch;

import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.node.upstream.UpstreamResponsePart;

/**
 * Where the answer to one call goes. Its monitor guards all state of the call, including that of
 * its exchange and attempts.
 */
abstract class AnswerTarget {
    private Source source = Source.NONE;

    /** Connects the target with the exchange that feeds it. */
    final synchronized void connect(Source newSource) {
        source = newSource;
    }

    final Source source() {
        return source;
    }

    /** Takes the beginning of the answer; called once. */
    abstract void head(UpstreamResponsePart.Head head);

    /** Takes content of an answer that is passed on unread. */
    abstract void content(byte[] bytes);

    /** Takes an event of a stream; its token, if it has one, is the next one of the answer. */
    abstract void event(UpstreamResponsePart.EngineEvent event);

    /** Returns whether the next part may be requested from the upstream now. */
    abstract boolean wantsMore();

    /** Ends the answer after its last part. */
    abstract void finish(Summary summary);

    /** Ends the call without the whole answer. */
    abstract void refuse(Refusal refusal);

    /** What a target asks of its exchange. */
    interface Source {
        /** Ignores everything. */
        Source NONE =
                new Source() {
                    @Override
                    public void more() {}

                    @Override
                    public void left() {}
                };

        /** The caller is ready for the next part. */
        void more();

        /** The caller has gone. */
        void left();
    }

    /**
     * What is known of a whole answer of engines.
     *
     * @param ranges its tokens by version and upstream
     * @param promptTokens prompt tokens processed over all attempts
     * @param generatedTokens tokens received over all attempts
     */
    record Summary(List<TokenRange> ranges, int promptTokens, int generatedTokens) {}
}

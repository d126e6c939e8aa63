package org.fuchsialever.node.dispatch;

import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.node.upstream.UpstreamResponsePart;

/**
 * Receives the response to one call. Its monitor guards all state of the call, including the state
 * of the exchange and its attempts.
 */
abstract class ResponseSink {
    private Source mSource = Source.NONE;

    /** Sets the exchange that writes to this sink. */
    final synchronized void connect(Source newSource) {
        mSource = newSource;
    }

    final Source source() {
        return mSource;
    }

    /** Writes the response head; called once. */
    abstract void writeHead(UpstreamResponsePart.Head head);

    /** Writes content of a response that is forwarded without being parsed. */
    abstract void writeContent(byte[] bytes);

    /** Writes a stream event; its token, if it has one, is the next token of the response. */
    abstract void writeEvent(UpstreamResponsePart.EngineEvent event);

    /** Returns whether the response exceeds what is kept in memory; its attempt ends. */
    boolean isTooLarge() {
        return false;
    }

    /** Returns whether the next part may be requested from the upstream. */
    abstract boolean hasDemand();

    /** Completes the response after its last part. */
    abstract void finish(Summary summary);

    /** Ends the call without a complete response. */
    abstract void refuse(Refusal refusal);

    /** Signals from a sink to its exchange. */
    interface Source {
        /** Ignores all signals; used until an exchange is connected. */
        Source NONE =
                new Source() {
                    @Override
                    public void requestMore() {}

                    @Override
                    public void callerDisconnected() {}
                };

        /** The caller is ready to receive the next part. */
        void requestMore();

        /** The caller disconnected. */
        void callerDisconnected();
    }

    /**
     * Token ranges and token counts of a complete response from engines.
     *
     * @param ranges the tokens of the response by version and upstream
     * @param promptTokens prompt tokens processed over all attempts
     * @param generatedTokens tokens received over all attempts
     */
    record Summary(List<TokenRange> ranges, int promptTokens, int generatedTokens) {}
}

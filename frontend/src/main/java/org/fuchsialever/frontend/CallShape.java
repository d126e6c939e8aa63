package org.fuchsialever.frontend;

/**
 * Size and form of a call.
 *
 * @param streamed whether the caller requests a stream of events
 * @param promptTokens estimated number of prompt tokens; 0 for plain calls
 * @param maxTokens the maximum number of tokens to generate; 0 for plain calls
 * @param prefixHash hash of the start of the prompt; 0 if there is none
 */
public record CallShape(boolean streamed, int promptTokens, int maxTokens, long prefixHash) {
    /** The shape of a call to a plain service. */
    public static final CallShape PLAIN = new CallShape(false, 0, 0, 0);
}

package org.fuchsialever.frontend;

/**
 * What a call says about its size and form.
 *
 * @param streamed whether the caller wants a stream of events
 * @param promptTokens estimated number of prompt tokens; 0 for plain calls
 * @param maxTokens the most tokens to generate; 0 for plain calls
 * @param prefixHash hash of the beginning of the prompt; 0 if there is none
 */
public record CallShape(boolean streamed, int promptTokens, int maxTokens, long prefixHash) {
    /** The shape of a call of a plain service. */
    public static final CallShape PLAIN = new CallShape(false, 0, 0, 0);
}

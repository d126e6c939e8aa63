package org.fuchsialever.decisions.fleet;

/**
 * The upstream that a call goes to.
 *
 * @param upstream the upstream
 * @param basis what decided for it
 * @param expectedNanos expected time until the call ends there, 0 if it was not estimated
 */
public record ChosenUpstream(UpstreamState upstream, ChoiceBasis basis, long expectedNanos) {
    /** Returns the same upstream and time on another basis. */
    ChosenUpstream on(ChoiceBasis other) {
        return new ChosenUpstream(upstream, other, expectedNanos);
    }
}

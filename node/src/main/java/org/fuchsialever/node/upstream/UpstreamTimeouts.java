package org.fuchsialever.node.upstream;

import java.time.Duration;

/**
 * How long attempts wait.
 *
 * @param engineFirstByte the longest wait for the first byte of an engine's answer
 * @param engineProgress the longest wait for the next event of an engine's stream; with the probe
 *     it must stay below the 3 s within which a silent stream is resumed
 * @param plainFirstByte the longest wait for the first byte of a plain service's answer
 * @param plainProgress the longest wait for the next bytes of a plain service's answer
 * @param probe the longest wait for the answer to a probe
 */
public record UpstreamTimeouts(
        Duration engineFirstByte,
        Duration engineProgress,
        Duration plainFirstByte,
        Duration plainProgress,
        Duration probe) {

    /** The values that apply without settings. */
    public static final UpstreamTimeouts DEFAULTS =
            new UpstreamTimeouts(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(10),
                    Duration.ofMillis(500));
}

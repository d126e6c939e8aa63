package org.fuchsialever.node.upstream;

import java.time.Duration;

/**
 * Timeouts of attempts and probes.
 *
 * @param engineFirstByte maximum wait for the first byte of an engine's response
 * @param engineProgress maximum wait for the next event of an engine's stream; together with the
 *     probe timeout it must be less than 3 s, the time within which a stalled stream is resumed
 * @param plainFirstByte maximum wait for the first byte of a plain service's response
 * @param plainProgress maximum wait for the next bytes of a plain service's response
 * @param probe timeout of a probe
 */
public record UpstreamTimeouts(
        Duration engineFirstByte,
        Duration engineProgress,
        Duration plainFirstByte,
        Duration plainProgress,
        Duration probe) {

    /** Default timeouts. */
    public static final UpstreamTimeouts DEFAULTS =
            new UpstreamTimeouts(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(10),
                    Duration.ofMillis(500));
}

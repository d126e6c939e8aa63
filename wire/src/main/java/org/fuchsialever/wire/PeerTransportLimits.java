package org.fuchsialever.wire;

import java.time.Duration;

/**
 * Limits of the transport between instances.
 *
 * @param maxFrameBytes largest content of a frame, in bytes
 * @param maxQueuedFrames frames that wait for one peer; the oldest is dropped for a further one
 * @param connectTimeout time for opening a connection
 * @param responseTimeout after this time without a frame from a peer that was sent one, the
 *     connection is replaced
 * @param initialRetryDelay delay after the first failed connection; doubled with each further one
 * @param maxRetryDelay longest delay
 */
public record PeerTransportLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        Duration connectTimeout,
        Duration responseTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay) {

    /** Returns the limits that instances use. */
    public static PeerTransportLimits defaults() {
        return new PeerTransportLimits(
                256 * 1024,
                256,
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofMillis(100),
                Duration.ofSeconds(10));
    }
}

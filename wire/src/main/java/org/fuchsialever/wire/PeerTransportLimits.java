package org.fuchsialever.wire;

import java.time.Duration;

/**
 * Limits of the transport between instances.
 *
 * @param frameBytes largest content of a frame, in bytes
 * @param queuedFrames frames that wait for one peer; the oldest is dropped for a further one
 * @param connectTimeout time for opening a connection
 * @param silence after this time without a frame from a peer that was sent one, the connection is
 *     replaced
 * @param firstRetry delay after the first failed connection; doubled with each further one
 * @param lastRetry longest delay
 */
public record PeerTransportLimits(
        int frameBytes,
        int queuedFrames,
        Duration connectTimeout,
        Duration silence,
        Duration firstRetry,
        Duration lastRetry) {

    /** Returns the limits that instances use. */
    public static PeerTransportLimits standard() {
        return new PeerTransportLimits(
                256 * 1024,
                256,
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofMillis(100),
                Duration.ofSeconds(10));
    }
}

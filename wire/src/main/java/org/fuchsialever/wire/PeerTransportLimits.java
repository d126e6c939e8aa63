package org.fuchsialever.wire;

import java.time.Duration;

/**
 * Limits of the transport between instances.
 *
 * @param maxFrameBytes maximum size of the content of a frame
 * @param maxQueuedFrames capacity of the queue of a peer; when it is full, the oldest frame is
 *     dropped
 * @param connectTimeout timeout of a connection attempt
 * @param responseTimeout a connection is closed when a frame was sent on it and none was received
 *     for this time
 * @param initialRetryDelay delay after the first failed attempt; doubled after each further one
 * @param maxRetryDelay upper limit of the delay
 */
public record PeerTransportLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        Duration connectTimeout,
        Duration responseTimeout,
        Duration initialRetryDelay,
        Duration maxRetryDelay) {

    /** Returns the limits that instances use by default. */
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

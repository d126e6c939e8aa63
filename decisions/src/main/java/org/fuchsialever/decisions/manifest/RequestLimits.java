package org.fuchsialever.decisions.manifest;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes bytes of the request line and header fields
 * @param maxBodyBytes bytes of a body
 * @param headerTimeoutMillis time for the header to arrive
 * @param idleTimeoutMillis time that a connection may stay idle
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

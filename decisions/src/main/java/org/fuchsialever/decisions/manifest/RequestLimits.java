package org.fuchsialever.decisions.manifest;

/**
 * Limits on requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and header fields
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMillis time within which the header must arrive
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record RequestLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

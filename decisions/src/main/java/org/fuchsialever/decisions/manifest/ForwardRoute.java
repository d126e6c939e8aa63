package org.fuchsialever.decisions.manifest;

import java.util.List;

/**
 * A route by host and path prefix.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix begins and ends with a slash
 * @param kind how its calls may be repeated
 * @param shares the services that run its calls, at least one
 * @param timeoutMillis the longest time a call may be kept waiting
 * @param targetLatencyMillis an answer within this time is in time
 * @param priority 0 is the most urgent
 * @param maxAttempts the most upstreams that one call may be sent to
 * @param open whether calls need no key
 * @param resumable whether a stream may go on at another upstream
 * @param singleVersion whether a text must come from one weight version
 * @param dueAfterMillis the results of a batch are due this long after it was submitted
 * @param abandonAfterMillis an item may be given up this long after its batch was submitted
 */
public record ForwardRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<ServiceShare> shares,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        boolean open,
        boolean resumable,
        boolean singleVersion,
        long dueAfterMillis,
        long abandonAfterMillis) {

    /** Copies the list. */
    public ForwardRoute {
        shares = List.copyOf(shares);
    }

    /** Returns whether a call that may have run may be sent again. */
    public boolean isIdempotent() {
        return kind.isIdempotent(resumable);
    }
}

package org.fuchsialever.standins;

/**
 * An order as the ordering interface received it.
 *
 * @param orderId the ID of the order
 * @param action {@code start} or {@code stop} * @param kind {@code regular} or {@code cheap}
 * @param sender the {@code User-Agent} of the sender, or its TCP port if there is none
 * @param status the HTTP status of the response
 * @param receivedAtNanos time of arrival on the monotonic clock
 */
public record ReceivedOrder(
        String orderId,
        String action,
        String upstream,
        String pool,
        String failureDomain,
        String kind,
        String sender,
        int status,
        long receivedAtNanos) {}

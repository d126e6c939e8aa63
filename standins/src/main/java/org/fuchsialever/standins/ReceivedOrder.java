package org.fuchsialever.standins;

/**
 * An order as the ordering interface received it.
 *
 * @param orderId the identity of the order
 * @param action {@code start} or {@code stop}
 * @param upstream the name of the upstream
 * @param pool the pool
 * @param failureDomain the failure domain
 * @param kind {@code regular} or {@code cheap}
 * @param sender the {@code User-Agent} of the sender, or its TCP port if there is none
 * @param status the answered status
 * @param receivedAtNanos when it arrived, on the monotonic clock
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

package org.fuchsialever.decisions.forward;

import java.util.List;
import org.fuchsialever.decisions.manifest.ServiceShare;

/**
 * A call that has to run at an upstream.
 *
 * @param number identifies it within this instance
 * @param kind what it is for
 * @param shares the services that may run it
 * @param idempotent whether it may run again after an attempt that may have run
 * @param maxAttempts the most upstreams to send it to; for items and scores the most failures
 * @param model the model that has to serve it, empty for a plain service
 * @param minVersion the oldest weight version allowed
 * @param affinity calls with the same text share a prompt; empty if there is none
 * @param queueRank smaller values leave the queue first
 * @param arrivedNanos when it arrived, in monotonic nanoseconds
 * @param deadlineNanos when it must have ended, in monotonic nanoseconds
 * @param hedgeAfterNanos how long to wait for an answer before another upstream is tried as well
 */
public record ForwardCall(
        long number,
        ForwardCallKind kind,
        List<ServiceShare> shares,
        boolean idempotent,
        int maxAttempts,
        String model,
        long minVersion,
        String affinity,
        long queueRank,
        long arrivedNanos,
        long deadlineNanos,
        long hedgeAfterNanos) {

    /** Copies the list. */
    public ForwardCall {
        shares = List.copyOf(shares);
    }

    /** Returns the same call under another number. */
    public ForwardCall withNumber(long newNumber) {
        return new ForwardCall(
                newNumber,
                kind,
                shares,
                idempotent,
                maxAttempts,
                model,
                minVersion,
                affinity,
                queueRank,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }

    /** Returns the same call for other services. */
    public ForwardCall withShares(List<ServiceShare> newShares) {
        return new ForwardCall(
                number,
                kind,
                newShares,
                idempotent,
                maxAttempts,
                model,
                minVersion,
                affinity,
                queueRank,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }
}

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
 * @param urgency smaller values leave the queue first
 * @param arrivedNanos when it arrived, in monotonic nanoseconds
 * @param deadlineNanos when it must have ended, in monotonic nanoseconds
 * @param hedgeAfterNanos how long to wait for an answer before another upstream is tried as well
 */
public record Work(
        long number,
        WorkKind kind,
        List<ServiceShare> shares,
        boolean idempotent,
        int maxAttempts,
        String model,
        long minVersion,
        String affinity,
        long urgency,
        long arrivedNanos,
        long deadlineNanos,
        long hedgeAfterNanos) {

    /** Copies the list. */
    public Work {
        shares = List.copyOf(shares);
    }

    /** Returns the same call under another number. */
    public Work withNumber(long newNumber) {
        return new Work(
                newNumber,
                kind,
                shares,
                idempotent,
                maxAttempts,
                model,
                minVersion,
                affinity,
                urgency,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }

    /** Returns the same call for other services. */
    public Work withShares(List<ServiceShare> newShares) {
        return new Work(
                number,
                kind,
                newShares,
                idempotent,
                maxAttempts,
                model,
                minVersion,
                affinity,
                urgency,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }
}

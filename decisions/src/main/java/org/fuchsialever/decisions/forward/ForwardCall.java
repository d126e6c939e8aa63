package org.fuchsialever.decisions.forward;

import java.util.List;
import org.fuchsialever.decisions.manifest.ServiceShare;

/**
 * A call that is to run at an upstream.
 *
 * @param number identifies it within this instance
 * @param kind its origin, which determines queueing and retries
 * @param shares the services that may run it, with their weights; one is picked per call
 * @param idempotent whether it may be repeated after an attempt that may have run
 * @param maxAttempts maximum number of upstreams to try; for items and scoring calls, of server
 *     errors
 * @param model the model that must serve it, empty for a plain service
 * @param minVersion the oldest weight version allowed
 * @param affinity calls with equal affinity share a prompt; empty for none
 * @param traits who asks for it, its rank and its expected length
 * @param queueRank smaller values leave the queue first
 * @param expectedLong whether it probably takes much longer than most, so that the pace of its
 *     upstream matters more than the load
 * @param arrivedNanos when it arrived, in monotonic nanoseconds
 * @param deadlineNanos when it must have ended, in monotonic nanoseconds; {@code NO_TIMER} for no
 *     limit
 * @param hedgeAfterNanos time without a response after which another upstream is tried in parallel;
 *     {@code NO_TIMER} for never
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
        CallTraits traits,
        long queueRank,
        boolean expectedLong,
        long arrivedNanos,
        long deadlineNanos,
        long hedgeAfterNanos) {

    /** Copies the list. */
    public ForwardCall {
        shares = List.copyOf(shares);
    }

    /**
     * Returns when the caller sent the call at the latest, in monotonic nanoseconds.
     *
     * @param now when an upstream is chosen or gets the call, in monotonic nanoseconds
     */
    public long latestSentNanos(long now) {
        return kind.latestSentNanos(this, now);
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
                traits,
                queueRank,
                expectedLong,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }

    /** Returns the same call with other services. */
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
                traits,
                queueRank,
                expectedLong,
                arrivedNanos,
                deadlineNanos,
                hedgeAfterNanos);
    }
}

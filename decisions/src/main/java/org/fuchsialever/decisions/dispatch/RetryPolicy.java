package org.fuchsialever.decisions.dispatch;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.random.RandomGenerator;

/** Decides whether and when a request is retried after a failed attempt. */
final class RetryPolicy {
    private static final long BASE_DELAY_NANOS = Duration.ofMillis(10).toNanos();
    private static final long MAX_DELAY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_DOUBLINGS = 7;

    private final int mMaxAttempts;
    private final RandomGenerator mRandom;

    RetryPolicy(int maxAttempts, RandomGenerator random) {
        mMaxAttempts = maxAttempts;
        mRandom = random;
    }

    /**
     * Decides whether to retry.
     *
     * @param queued the request whose attempt has ended
     * @param result how the attempt ended
     * @param budget the retry budget of the route
     * @return the reason for the retry, or the refusal if there is none
     */
    Either<RefusalReason, RetryReason> decide(
            QueuedRequest queued, AttemptResult result, RetryBudget budget) {
        Option<RetryReason> reason = result.retryReason();
        if (reason.isEmpty() || !isRetryAllowed(queued, reason.get())) {
            return Either.left(refusal(queued, result));
        }
        if (queued.attempt() >= mMaxAttempts) {
            return Either.left(refusal(queued, result));
        }
        if (!budget.tryRetry()) {
            boolean neverRan = !queued.mayHaveRun();
            return Either.left(
                    neverRan ? RefusalReason.RETRY_BUDGET_SPENT : refusal(queued, result));
        }
        return Either.right(reason.get());
    }

    /**
     * Returns an exponential delay with full jitter; a stream that is resumed continues without
     * delay.
     */
    long delayNanos(QueuedRequest queued) {
        if (queued.tokens() > 0) {
            return 0;
        }
        int doublings = Math.min(queued.attempt() - 1, MAX_DOUBLINGS);
        long bound = Math.min(MAX_DELAY_NANOS, BASE_DELAY_NANOS << doublings);
        return mRandom.nextLong(bound) + 1;
    }

    /**
     * Returns whether a retry is safe. A request that may have run is retried only if its route is
     * repeatable. One that has delivered part of its response must also be resumable, or the caller
     * would receive the beginning twice.
     */
    private static boolean isRetryAllowed(QueuedRequest queued, RetryReason reason) {
        if (queued.tokens() > 0 && !queued.request().resumable()) {
            return false;
        }
        return reason.provesNotRun() && !queued.mayHaveRun()
                || queued.request().route().repeatable();
    }

    private static RefusalReason refusal(QueuedRequest queued, AttemptResult result) {
        if (result.outcome() == Outcome.NOT_RUN && !queued.mayHaveRun()) {
            return RefusalReason.UPSTREAMS_NOT_REACHED;
        }
        return result.outcome() == Outcome.FAILED_AFTER_RUNNING
                ? RefusalReason.UPSTREAM_FAILED
                : RefusalReason.ANSWER_LOST;
    }
}

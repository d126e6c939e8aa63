package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/** State of an open intent of the current holder. */
final class OpenIntent<C extends IntentCommand> {
    final Intent<C> intent;

    /** Time until which an earlier attempt may still reach the receiver. */
    private long quietPeriodEnd;

    /**
     * Time until which an inherited intent must not be abandoned, even if its receiver checks
     * fencing tokens.
     */
    private long earliestAbandon;

    private long nextAttemptAt;
    private boolean recorded;
    private boolean inFlight;
    private boolean abandoned;
    private int attempts;
    private int failures;
    private long sentAt;
    private Option<CommandResult> response = Option.none();

    OpenIntent(Intent<C> intent, boolean recorded, long now) {
        this.intent = intent;
        this.recorded = recorded;
        this.quietPeriodEnd = now;
        this.earliestAbandon = now;
        this.nextAttemptAt = now;
    }

    /** Marks an intent as inherited; requests of the predecessor are dropped by the given time. */
    void inherit(long quietPeriodEndNanos) {
        earliestAbandon = quietPeriodEndNanos;
        if (!intent.command().fencingEnforced()) {
            quietPeriodEnd = quietPeriodEndNanos;
            nextAttemptAt = quietPeriodEndNanos;
        }
    }

    void markRecorded() {
        recorded = true;
    }

    boolean isRecorded() {
        return recorded;
    }

    void abandon() {
        abandoned = true;
    }

    /** Returns whether an attempt may be sent now. */
    boolean isDue(long now) {
        return recorded && !inFlight && response.isEmpty() && !abandoned && now >= nextAttemptAt;
    }

    int startAttempt(long now) {
        inFlight = true;
        sentAt = now;
        return ++attempts;
    }

    /** Returns whether the given attempt is the one in flight. */
    boolean isInFlight(int attempt) {
        return inFlight && attempt == attempts;
    }

    void onResult(CommandResult result, long now, long quietPeriodNanos) {
        inFlight = false;
        if (result.mayBeInTransit()) {
            quietPeriodEnd = Math.max(quietPeriodEnd, now + quietPeriodNanos);
        }
        if (result.isFinal()) {
            if (result.mayBeContradicted() && sentAt < quietPeriodEnd) {
                nextAttemptAt = quietPeriodEnd;
            } else {
                response = Option.some(result);
            }
        } else {
            failures++;
        }
    }

    void delayUntil(long nanos) {
        nextAttemptAt = Math.max(nanos, nextAttemptAt);
    }

    int failures() {
        return failures;
    }

    boolean needsRetryDelay(CommandResult result) {
        return !result.isFinal();
    }

    /** Returns the result if the intent has ended and no attempt can be in transit. */
    Option<CommandResult> finalResult(long now) {
        if (!recorded || inFlight || now < quietPeriodEnd) {
            return Option.none();
        }
        boolean isAbandoned = abandoned && response.isEmpty() && now >= earliestAbandon;
        return isAbandoned ? Option.some(CommandResult.FAILED) : response;
    }

    long nextTimer() {
        if (!recorded || inFlight) {
            return Long.MAX_VALUE;
        }
        if (response.isDefined()) {
            return quietPeriodEnd;
        }
        return abandoned ? Math.max(quietPeriodEnd, earliestAbandon) : nextAttemptAt;
    }
}

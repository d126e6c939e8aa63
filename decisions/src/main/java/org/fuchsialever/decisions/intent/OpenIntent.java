package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/** State of one open intent of the present holder. */
final class OpenIntent<C extends IntentCommand> {
    final Intent<C> intent;

    /** Until then an earlier attempt may still reach the receiver. */
    private long quietFrom;

    /** Until then an inherited intent must not be abandoned, whatever its receiver checks. */
    private long abandonFrom;

    private long nextAttemptAt;
    private boolean recorded;
    private boolean inFlight;
    private boolean abandoned;
    private int attempts;
    private int failures;
    private long sentAt;
    private Option<CommandResult> answer = Option.none();

    OpenIntent(Intent<C> intent, boolean recorded, long now) {
        this.intent = intent;
        this.recorded = recorded;
        this.quietFrom = now;
        this.abandonFrom = now;
        this.nextAttemptAt = now;
    }

    /** Marks an intent of a predecessor, whose last request is dropped by the given time. */
    void inherit(long quietFromNanos) {
        abandonFrom = quietFromNanos;
        if (!intent.command().fencingEnforced()) {
            quietFrom = quietFromNanos;
            nextAttemptAt = quietFromNanos;
        }
    }

    void markRecorded() {
        recorded = true;
    }

    boolean recorded() {
        return recorded;
    }

    void abandon() {
        abandoned = true;
    }

    /** Returns whether an attempt may be sent now. */
    boolean due(long now) {
        return recorded && !inFlight && answer.isEmpty() && !abandoned && now >= nextAttemptAt;
    }

    int send(long now) {
        inFlight = true;
        sentAt = now;
        return ++attempts;
    }

    /** Returns whether the result belongs to the attempt that is under way. */
    boolean awaits(int attempt) {
        return inFlight && attempt == attempts;
    }

    void attempted(CommandResult result, long now, long quietNanos) {
        inFlight = false;
        if (result.inTransit()) {
            quietFrom = Math.max(quietFrom, now + quietNanos);
        }
        if (result.isFinal()) {
            if (result.contradictedByEarlierAttempt() && sentAt < quietFrom) {
                nextAttemptAt = quietFrom;
            } else {
                answer = Option.some(result);
            }
        } else {
            failures++;
        }
    }

    void retryAt(long nanos) {
        nextAttemptAt = Math.max(nanos, nextAttemptAt);
    }

    int failures() {
        return failures;
    }

    boolean needsRetryDelay(CommandResult result) {
        return !result.isFinal();
    }

    /** Returns the result if the intent has ended and nothing is in transit any more. */
    Option<CommandResult> ended(long now) {
        if (!recorded || inFlight || now < quietFrom) {
            return Option.none();
        }
        boolean givenUp = abandoned && answer.isEmpty() && now >= abandonFrom;
        return givenUp ? Option.some(CommandResult.FAILED) : answer;
    }

    long nextTimer() {
        if (!recorded || inFlight) {
            return Long.MAX_VALUE;
        }
        if (answer.isDefined()) {
            return quietFrom;
        }
        return abandoned ? Math.max(quietFrom, abandonFrom) : nextAttemptAt;
    }
}

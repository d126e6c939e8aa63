package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/** State of an open intent of the current holder. */
final class OpenIntent<C extends IntentCommand> {
    final Intent<C> intent;

    /** Time until which an earlier attempt may still reach the receiver. */
    private long quietFrom;

    /**
     * Time until which an inherited intent must not be abandoned, even if its receiver checks
     * fencing tokens.
     */
    private long abandonFrom;

    private long nextAttemptAt;
    private boolean recorded;
    private boolean inFlight;
    private boolean abandoned;
    private int attempts;
    private int failures;
    private long sentAt;
    private Option<ActResult> answer = Option.none();

    OpenIntent(Intent<C> intent, boolean recorded, long now) {
        this.intent = intent;
        this.recorded = recorded;
        this.quietFrom = now;
        this.abandonFrom = now;
        this.nextAttemptAt = now;
    }

    /** Marks an intent as inherited; requests of the predecessor are dropped by the given time. */
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

    /** Returns whether the given attempt is the one in flight. */
    boolean awaits(int attempt) {
        return inFlight && attempt == attempts;
    }

    void attempted(ActResult result, long now, long quietNanos) {
        inFlight = false;
        if (result.inTransit()) {
            quietFrom = Math.max(quietFrom, now + quietNanos);
        }
        if (result.answered()) {
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

    boolean needsRetryDelay(ActResult result) {
        return !result.answered();
    }

    /** Returns the result if the intent has ended and no attempt can be in transit. */
    Option<ActResult> ended(long now) {
        if (!recorded || inFlight || now < quietFrom) {
            return Option.none();
        }
        boolean givenUp = abandoned && answer.isEmpty() && now >= abandonFrom;
        return givenUp ? Option.some(ActResult.FAILED) : answer;
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

package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;

/** State of an open intent of the current holder. */
final class OpenIntent<C extends IntentCommand> {
    final Intent<C> mIntent;

    /** Time until which an earlier attempt may still reach the receiver. */
    private long mQuietPeriodEnd;

    /**
     * Time until which an inherited intent must not be abandoned, even if its receiver checks
     * fencing tokens.
     */
    private long mEarliestAbandon;

    private long mNextAttemptAt;
    private boolean mRecorded;
    private boolean mInFlight;
    private boolean mAbandoned;
    private int mAttempts;
    private int mFailures;
    private long mSentAt;
    private Option<CommandResult> mResponse = Option.none();

    OpenIntent(Intent<C> intent, boolean recorded, long now) {
        mIntent = intent;
        mRecorded = recorded;
        mQuietPeriodEnd = now;
        mEarliestAbandon = now;
        mNextAttemptAt = now;
    }

    /** Marks an intent as inherited; requests of the predecessor are dropped by the given time. */
    void inherit(long quietPeriodEndNanos) {
        mEarliestAbandon = quietPeriodEndNanos;
        if (!mIntent.command().fencingEnforced()) {
            mQuietPeriodEnd = quietPeriodEndNanos;
            mNextAttemptAt = quietPeriodEndNanos;
        }
    }

    void markRecorded() {
        mRecorded = true;
    }

    boolean isRecorded() {
        return mRecorded;
    }

    void abandon() {
        mAbandoned = true;
    }

    /** Returns whether an attempt may be sent now. */
    boolean isDue(long now) {
        return mRecorded
                && !mInFlight
                && mResponse.isEmpty()
                && !mAbandoned
                && now >= mNextAttemptAt;
    }

    int startAttempt(long now) {
        mInFlight = true;
        mSentAt = now;
        return ++mAttempts;
    }

    /** Returns whether the given attempt is the one in flight. */
    boolean isInFlight(int attempt) {
        return mInFlight && attempt == mAttempts;
    }

    void onResult(CommandResult result, long now, long quietPeriodNanos) {
        mInFlight = false;
        if (result.mayBeInTransit()) {
            mQuietPeriodEnd = Math.max(mQuietPeriodEnd, now + quietPeriodNanos);
        }
        if (result.isFinal()) {
            if (result.mayBeContradicted() && mSentAt < mQuietPeriodEnd) {
                mNextAttemptAt = mQuietPeriodEnd;
            } else {
                mResponse = Option.some(result);
            }
        } else {
            mFailures++;
        }
    }

    void delayUntil(long nanos) {
        mNextAttemptAt = Math.max(nanos, mNextAttemptAt);
    }

    int failures() {
        return mFailures;
    }

    boolean needsRetryDelay(CommandResult result) {
        return !result.isFinal();
    }

    /** Returns the result if the intent has ended and no attempt can be in transit. */
    Option<CommandResult> finalResult(long now) {
        if (!mRecorded || mInFlight || now < mQuietPeriodEnd) {
            return Option.none();
        }
        boolean isAbandoned = mAbandoned && mResponse.isEmpty() && now >= mEarliestAbandon;
        return isAbandoned ? Option.some(CommandResult.FAILED) : mResponse;
    }

    long nextTimer() {
        if (!mRecorded || mInFlight) {
            return Long.MAX_VALUE;
        }
        if (mResponse.isDefined()) {
            return mQuietPeriodEnd;
        }
        return mAbandoned ? Math.max(mQuietPeriodEnd, mEarliestAbandon) : mNextAttemptAt;
    }
}

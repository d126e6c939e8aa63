package org.fuchsialever.decisions.samples;

import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Sends the commits of one trainer one at a time. A commit whose outcome is unknown is sent again
 * unchanged until its outcome is known; until then nothing else is committed.
 */
final class CommitSequence {
    private final String mWriterPrefix;
    private final RetryDelay mDelays;
    private long mHeadVersion;
    private long mSequence;
    private int mFailureCount;
    private long mRetryAt = Duty.NO_TIMER;
    private @Nullable RolloutAction mAction;
    private @Nullable HeadCommit mCommit;

    CommitSequence(String writerPrefix, RetryDelay delays) {
        mWriterPrefix = writerPrefix;
        mDelays = delays;
    }

    void onRestored(long version) {
        mHeadVersion = version;
        clear();
    }

    long headVersion() {
        return mHeadVersion;
    }

    String nextWriter() {
        mSequence++;
        return mWriterPrefix + "-" + mSequence;
    }

    boolean isIdle() {
        return mCommit == null;
    }

    boolean isAwaiting(String writer) {
        return mCommit != null && mCommit.writer().equals(writer);
    }

    HeadCommit current() {
        if (mCommit == null) {
            throw new IllegalStateException("no commit is in progress");
        }
        return mCommit;
    }

    void send(HeadCommit next, RolloutAction nextAction, InvocationContext context) {
        mCommit = next;
        mAction = nextAction;
        mFailureCount = 0;
        mRetryAt = Duty.NO_TIMER;
        context.emit(nextAction);
    }

    HeadCommit onCommitted(long version) {
        HeadCommit finished = current();
        mHeadVersion = version;
        clear();
        return finished;
    }

    void scheduleRetry(long now) {
        mFailureCount++;
        mRetryAt = now + mDelays.delayNanos(mFailureCount);
    }

    void retryIfDue(InvocationContext context) {
        if (mRetryAt <= context.now() && mAction != null) {
            mRetryAt = Duty.NO_TIMER;
            context.count(RolloutCounter.COMMIT_RETRIED, 1);
            context.emit(mAction);
        }
    }

    long retryAt() {
        return mRetryAt;
    }

    void clear() {
        mCommit = null;
        mAction = null;
        mRetryAt = Duty.NO_TIMER;
    }
}

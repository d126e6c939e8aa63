package org.fuchsialever.decisions.samples;

import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * The commits of one trainer, one after the other. A commit with an unknown result is sent again
 * unchanged until its result is known; nothing else is committed meanwhile.
 */
final class CommitSequence {
    private final String writerPrefix;
    private final RetryDelay delays;
    private long headVersion;
    private long sequence;
    private int failureCount;
    private long retryAt = Duty.NO_TIMER;
    private @Nullable RolloutAction action;
    private @Nullable HeadCommit commit;

    CommitSequence(String writerPrefix, RetryDelay delays) {
        this.writerPrefix = writerPrefix;
        this.delays = delays;
    }

    void onRestored(long version) {
        headVersion = version;
        clear();
    }

    long headVersion() {
        return headVersion;
    }

    String nextWriter() {
        sequence++;
        return writerPrefix + "-" + sequence;
    }

    boolean isIdle() {
        return commit == null;
    }

    boolean isAwaiting(String writer) {
        return commit != null && commit.writer().equals(writer);
    }

    HeadCommit current() {
        if (commit == null) {
            throw new IllegalStateException("no commit is in progress");
        }
        return commit;
    }

    void send(HeadCommit next, RolloutAction nextAction, InvocationContext turn) {
        commit = next;
        action = nextAction;
        failureCount = 0;
        retryAt = Duty.NO_TIMER;
        turn.emit(nextAction);
    }

    HeadCommit onCommitted(long version) {
        HeadCommit finished = current();
        headVersion = version;
        clear();
        return finished;
    }

    void scheduleRetry(long now) {
        failureCount++;
        retryAt = now + delays.delayNanos(failureCount);
    }

    void retryIfDue(InvocationContext turn) {
        if (retryAt <= turn.now() && action != null) {
            retryAt = Duty.NO_TIMER;
            turn.count(RolloutCounter.COMMIT_RETRIED, 1);
            turn.emit(action);
        }
    }

    long retryAt() {
        return retryAt;
    }

    void clear() {
        commit = null;
        action = null;
        retryAt = Duty.NO_TIMER;
    }
}

package org.fuchsialever.decisions.samples;

import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Sends the commits of one trainer one at a time. A commit whose outcome is unknown is sent again
 * unchanged until its outcome is known; until then nothing else is committed.
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

    void send(HeadCommit next, RolloutAction nextAction, InvocationContext context) {
        commit = next;
        action = nextAction;
        failureCount = 0;
        retryAt = Duty.NO_TIMER;
        context.emit(nextAction);
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

    void retryIfDue(InvocationContext context) {
        if (retryAt <= context.now() && action != null) {
            retryAt = Duty.NO_TIMER;
            context.count(RolloutCounter.COMMIT_RETRIED, 1);
            context.emit(action);
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

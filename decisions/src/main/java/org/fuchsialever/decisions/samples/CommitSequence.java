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
    private int failures;
    private long retryAt = Duty.NO_TIMER;
    private @Nullable RolloutAction action;
    private @Nullable HeadCommit commit;

    CommitSequence(String writerPrefix, RetryDelay delays) {
        this.writerPrefix = writerPrefix;
        this.delays = delays;
    }

    void restored(long version) {
        headVersion = version;
        done();
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

    boolean awaits(String writer) {
        return commit != null && commit.writer().equals(writer);
    }

    HeadCommit current() {
        if (commit == null) {
            throw new IllegalStateException("no commit is in progress");
        }
        return commit;
    }

    void send(HeadCommit next, RolloutAction nextAction, Turn turn) {
        commit = next;
        action = nextAction;
        failures = 0;
        retryAt = Duty.NO_TIMER;
        turn.emit(nextAction);
    }

    HeadCommit committed(long version) {
        HeadCommit finished = current();
        headVersion = version;
        done();
        return finished;
    }

    void retryLater(long now) {
        failures++;
        retryAt = now + delays.nanos(failures);
    }

    void retryIfDue(Turn turn) {
        if (retryAt <= turn.now() && action != null) {
            retryAt = Duty.NO_TIMER;
            turn.count(RolloutCounter.COMMIT_RETRIED, 1);
            turn.emit(action);
        }
    }

    long retryAt() {
        return retryAt;
    }

    void done() {
        commit = null;
        action = null;
        retryAt = Duty.NO_TIMER;
    }
}

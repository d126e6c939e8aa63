package org.fuchsialever.node.http;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.dispatch.CallDrain;
import reactor.core.publisher.Mono;

/** Waits for running calls to end before the resources that they use are closed. */
final class Drain implements AutoCloseable {
    private final HttpFrontEnd mFrontEnd;
    private final CallDrain mCalls;
    private final Duration mDeadline;
    private final InvariantMonitor mInvariants;
    private volatile boolean mStarted;

    Drain(HttpFrontEnd frontEnd, CallDrain calls, Duration deadline, InvariantMonitor invariants) {
        mFrontEnd = frontEnd;
        mCalls = calls;
        mDeadline = deadline;
        mInvariants = invariants;
    }

    boolean isStarted() {
        return mStarted;
    }

    /** Waits until no call is in progress, at most until the deadline. */
    @Override
    public void close() {
        mStarted = true;
        Mono.when(mFrontEnd.drain(), mCalls.drain())
                .timeout(mDeadline)
                .onErrorResume(
                        TimeoutException.class,
                        timeout -> {
                            mInvariants.reportViolation(
                                    Invariant.SHUTDOWN_CUTS_NOTHING,
                                    "calls are still in progress after " + mDeadline);
                            return Mono.empty();
                        })
                .block();
    }
}

package org.fuchsialever.node.http;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.dispatch.CallDrain;
import reactor.core.publisher.Mono;

/** Lets running calls end before the resources that they use are closed. */
final class Drain implements AutoCloseable {
    private final HttpFrontEnd frontEnd;
    private final CallDrain calls;
    private final Duration deadline;
    private final InvariantMonitor invariants;
    private volatile boolean started;

    Drain(HttpFrontEnd frontEnd, CallDrain calls, Duration deadline, InvariantMonitor invariants) {
        this.frontEnd = frontEnd;
        this.calls = calls;
        this.deadline = deadline;
        this.invariants = invariants;
    }

    boolean started() {
        return started;
    }

    /** Waits until no call is in progress, at most until the deadline. */
    @Override
    public void close() {
        started = true;
        Mono.when(frontEnd.drain(), calls.drain())
                .timeout(deadline)
                .onErrorResume(
                        TimeoutException.class,
                        late -> {
                            invariants.reportViolation(
                                    Invariant.SHUTDOWN_CUTS_NOTHING,
                                    "calls are still in progress after " + deadline);
                            return Mono.empty();
                        })
                .block();
    }
}

package org.fuchsialever.decisions.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** Progress of one call. */
final class ForwardCallState {
    private final ForwardCall work;
    private final String service;
    private final TreeMap<Integer, UpstreamState> running = new TreeMap<>();
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int sent;
    private int failures;
    private boolean mayHaveRun;
    private boolean queued;

    ForwardCallState(ForwardCall work, String service) {
        this.work = work;
        this.service = service;
    }

    ForwardCall work() {
        return work;
    }

    String service() {
        return service;
    }

    Set<Integer> runningAttempts() {
        return Set.copyOf(running.keySet());
    }

    List<UpstreamState> runningUpstreams() {
        return List.copyOf(running.values());
    }

    boolean isRunning() {
        return !running.isEmpty();
    }

    boolean wasTried(UpstreamState upstream) {
        return tried.contains(upstream.spec().id());
    }

    int start(UpstreamState upstream) {
        attempts++;
        sent++;
        tried.add(upstream.spec().id());
        running.put(attempts, upstream);
        return attempts;
    }

    int attempts() {
        return attempts;
    }

    void end(int attempt, AttemptOutcome outcome) {
        running.remove(attempt);
        mayHaveRun |= outcome.mayHaveRun();
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            sent--;
        }
        if (outcome == AttemptOutcome.FAILED) {
            failures++;
        }
    }

    /** Returns whether another upstream may get the call. */
    boolean mayBeSentAgain() {
        if (work.kind() != ForwardCallKind.LIVE) {
            return failures < work.maxAttempts();
        }
        return sent < work.maxAttempts() && (work.idempotent() || !mayHaveRun && !isRunning());
    }

    /** Allows upstreams that were tried before, for calls that are tried until they succeed. */
    void forgetTried() {
        tried.clear();
    }

    boolean mayHaveRun() {
        return mayHaveRun || isRunning();
    }

    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean value) {
        queued = value;
    }
}

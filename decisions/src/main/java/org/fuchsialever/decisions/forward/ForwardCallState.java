package org.fuchsialever.decisions.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** Attempts and retry budget of one call in progress. */
final class ForwardCallState {
    private final ForwardCall call;
    private final String service;
    private final TreeMap<Integer, UpstreamState> running = new TreeMap<>();
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int sent;
    private int failures;
    private boolean mayHaveRun;
    private boolean queued;

    ForwardCallState(ForwardCall call, String service) {
        this.call = call;
        this.service = service;
    }

    ForwardCall call() {
        return call;
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

    /** Returns whether the call may be sent to another upstream. */
    boolean mayBeSentAgain() {
        if (call.kind() != ForwardCallKind.LIVE) {
            return failures < call.maxAttempts();
        }
        return sent < call.maxAttempts() && (call.idempotent() || !mayHaveRun && !isRunning());
    }

    /** Makes upstreams eligible again that were tried before, for calls with many retries. */
    void clearTried() {
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

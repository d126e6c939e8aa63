package org.fuchsialever.decisions.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.UpstreamState;

/** Attempts and retry budget of one call in progress. */
final class ForwardCallState {
    private final ForwardCall mCall;
    private final String mService;
    private final TreeMap<Integer, UpstreamState> mRunning = new TreeMap<>();
    private final Set<String> mTried = new HashSet<>();
    private int mAttempts;
    private int mSent;
    private int mFailures;
    private boolean mMayHaveRun;
    private final Set<Integer> mSuperseded = new HashSet<>();
    private int mMoves;
    private long mFirstStartNanos;
    private long mWorkDoneNanos;

    ForwardCallState(ForwardCall call, String service) {
        mCall = call;
        mService = service;
    }

    ForwardCall call() {
        return mCall;
    }

    String service() {
        return mService;
    }

    Set<Integer> runningAttempts() {
        return Set.copyOf(mRunning.keySet());
    }

    List<UpstreamState> runningUpstreams() {
        return List.copyOf(mRunning.values());
    }

    boolean isRunning() {
        return !mRunning.isEmpty();
    }

    boolean wasTried(UpstreamState upstream) {
        return mTried.contains(upstream.spec().id());
    }

    int start(UpstreamState upstream, long now) {
        if (mAttempts == 0) {
            mFirstStartNanos = now;
        }
        mAttempts++;
        mSent++;
        mTried.add(upstream.spec().id());
        mRunning.put(mAttempts, upstream);
        return mAttempts;
    }

    long firstStartNanos() {
        return mFirstStartNanos;
    }

    /** Adds what an attempt has done, as the time that a typical upstream takes for it. */
    void addWorkDone(long nanos) {
        mWorkDoneNanos += nanos;
    }

    /** Returns what earlier attempts have done of a call that goes on after its last event. */
    long workDoneNanos() {
        return mWorkDoneNanos;
    }

    int attempts() {
        return mAttempts;
    }

    /** Records the end of an attempt; returns whether the call had gone on elsewhere before. */
    boolean end(int attempt, AttemptOutcome outcome) {
        mRunning.remove(attempt);
        mMayHaveRun |= outcome.mayHaveRun();
        if (!outcome.wasSent()) {
            mSent--;
        }
        if (outcome == AttemptOutcome.FAILED) {
            mFailures++;
        }
        return mSuperseded.remove(attempt);
    }

    /** Returns whether the call may be sent to another upstream. */
    boolean mayBeSentAgain() {
        if (mCall.kind() != ForwardCallKind.LIVE) {
            return mFailures < mCall.maxAttempts();
        }
        return mSent < mCall.maxAttempts() && (mCall.idempotent() || !mMayHaveRun && !isRunning());
    }

    /** Makes upstreams eligible again that were tried before, for calls with many retries. */
    void clearTried() {
        mTried.clear();
    }

    int moves() {
        return mMoves;
    }

    /** Records that the call goes on elsewhere, whatever the outcome of this attempt. */
    void supersede(int attempt) {
        mMoves++;
        mRunning.remove(attempt);
        mSuperseded.add(attempt);
    }

    boolean mayHaveRun() {
        return mMayHaveRun || isRunning();
    }

    /** Returns why the call is started when it leaves the queue. */
    ForwardAction.StartReason nextStartReason() {
        return mAttempts == 0 ? ForwardAction.StartReason.FIRST : ForwardAction.StartReason.RETRY;
    }
}

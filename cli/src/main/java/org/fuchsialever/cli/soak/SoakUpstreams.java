package org.fuchsialever.cli.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Engines and plain services that run requests, fail and leave. */
final class SoakUpstreams {
    static final int SLOTS = 4;
    private static final long TOKEN_NANOS = 20 * SoakTimeline.MILLI;
    private static final long SILENCE_NANOS = 3 * SoakTimeline.SECOND;

    private final SoakTimeline mTimeline;
    private final RandomGenerator mRandom;
    private final SoakChecker mChecker;
    private final Map<UpstreamId, Upstream> mUpstreams = new TreeMap<>();
    private long mNewestVersion = 1;
    int mBrokenPercent;
    int mSilentPercent;

    SoakUpstreams(SoakTimeline timeline, RandomGenerator random, SoakChecker checker) {
        mTimeline = timeline;
        mRandom = random;
        mChecker = checker;
    }

    void add(UpstreamId id) {
        Upstream upstream = new Upstream();
        upstream.mVersion = mNewestVersion;
        mUpstreams.put(id, upstream);
    }

    /** Ends the process of an upstream with all its requests. */
    void crash(UpstreamId id) {
        Upstream upstream = find(id);
        upstream.mUp = false;
        upstream.mStart++;
        upstream.mRunning = 0;
    }

    void restart(UpstreamId id) {
        Upstream upstream = find(id);
        upstream.mUp = true;
        upstream.mVersion = mNewestVersion;
    }

    /** Loads a weight version on all upstreams, one after the other within a second. */
    void load(long version) {
        mNewestVersion = version;
        for (Upstream upstream : mUpstreams.values()) {
            mTimeline.after(
                    mRandom.nextLong(SoakTimeline.SECOND),
                    () -> upstream.mVersion = Math.max(upstream.mVersion, version));
        }
    }

    void leave(UpstreamId id) {
        find(id).mLeaving = true;
    }

    /** Returns the upstreams whose process runs. */
    List<UpstreamId> running() {
        return mUpstreams.keySet().stream().filter(this::isUp).toList();
    }

    boolean isUp(UpstreamId id) {
        return find(id).mUp;
    }

    LoadReport report(UpstreamId id) {
        Upstream upstream = find(id);
        return new LoadReport(
                upstream.mRunning,
                0,
                SLOTS,
                new WeightVersion(upstream.mVersion),
                id + "-" + upstream.mStart,
                upstream.mLeaving,
                SoakTimeline.MILLI);
    }

    /** Sends a request of an instance to an upstream. */
    void send(SoakCall call, DispatchAction.StartAttempt action, SoakInstance caller) {
        Upstream upstream = find(action.upstream().id());
        if (!upstream.mUp) {
            end(call, action, caller, AttemptResult.NOT_CONNECTED, 0);
            return;
        }
        mTimeline.after(
                mRandom.nextLong(1, 5) * SoakTimeline.MILLI,
                () -> receive(upstream, call, action, caller));
    }

    private void receive(
            Upstream upstream,
            SoakCall call,
            DispatchAction.StartAttempt action,
            SoakInstance caller) {
        if (!upstream.mUp) {
            end(call, action, caller, AttemptResult.CONNECTION_LOST, 0);
        } else if (upstream.mRunning >= SLOTS) {
            end(call, action, caller, AttemptResult.NOT_ADMITTED, 0);
        } else {
            mChecker.ran(call);
            upstream.mRunning++;
            Run run = new Run(upstream, upstream.mStart, call, action, caller);
            int rest = call.mPlain ? 1 : call.mTokens - action.resumeFrom();
            boolean silent = mRandom.nextInt(100) < mSilentPercent;
            boolean broken = mRandom.nextInt(100) < mBrokenPercent;
            int stopAfter = silent || broken ? mRandom.nextInt(rest + 1) : Integer.MAX_VALUE;
            run.next(0, stopAfter, silent ? AttemptResult.SILENT : failure());
        }
    }

    private AttemptResult failure() {
        return switch (mRandom.nextInt(3)) {
            case 0 -> AttemptResult.CONNECTION_LOST;
            case 1 -> AttemptResult.UPSTREAM_ERROR;
            default -> AttemptResult.MALFORMED_ANSWER;
        };
    }

    private void end(
            SoakCall call,
            DispatchAction.StartAttempt action,
            SoakInstance caller,
            AttemptResult result,
            int tokens) {
        mTimeline.after(
                SoakTimeline.MILLI, () -> caller.attemptEnded(call, action, result, tokens));
    }

    private Upstream find(UpstreamId id) {
        Upstream upstream = mUpstreams.get(id);
        if (upstream == null) {
            throw new IllegalStateException("a request was sent to " + id + ", which is not known");
        }
        return upstream;
    }

    private static final class Upstream {
        private boolean mUp = true;
        private boolean mLeaving;
        private int mRunning;
        private int mStart;
        private long mVersion;
    }

    private final class Run {
        private final Upstream mUpstream;
        private final int mStart;
        private final SoakCall mCall;
        private final DispatchAction.StartAttempt mAction;
        private final SoakInstance mCaller;

        Run(
                Upstream upstream,
                int start,
                SoakCall call,
                DispatchAction.StartAttempt action,
                SoakInstance caller) {
            mUpstream = upstream;
            mStart = start;
            mCall = call;
            mAction = action;
            mCaller = caller;
        }

        /** Generates one token, or ends the answer in the given way when its time has come. */
        void next(int generated, int stopAfter, AttemptResult failure) {
            if (mUpstream.mStart != mStart) {
                end(mCall, mAction, mCaller, AttemptResult.CONNECTION_LOST, generated);
            } else if (mCaller.hasGivenUp(mCall, mAction.attempt())) {
                mUpstream.mRunning--;
            } else if (generated >= stopAfter) {
                mUpstream.mRunning--;
                long delay = failure == AttemptResult.SILENT ? SILENCE_NANOS : 0;
                mTimeline.after(delay, () -> end(mCall, mAction, mCaller, failure, generated));
            } else if (mAction.resumeFrom() + generated >= mCall.mTokens) {
                mUpstream.mRunning--;
                end(mCall, mAction, mCaller, AttemptResult.COMPLETED, generated);
            } else {
                mTimeline.after(
                        TOKEN_NANOS + mRandom.nextLong(TOKEN_NANOS),
                        () -> {
                            if (mUpstream.mStart != mStart) {
                                next(generated, stopAfter, failure);
                                return;
                            }
                            SoakCall.Token token =
                                    new SoakCall.Token(mUpstream.mVersion, mAction.upstream().id());
                            mCall.generated(mAction.resumeFrom() + generated, token);
                            mCaller.token(mCall, mAction, generated, token);
                            next(generated + 1, stopAfter, failure);
                        });
            }
        }
    }
}

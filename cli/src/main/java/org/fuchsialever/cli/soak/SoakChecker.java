package org.fuchsialever.cli.soak;

import java.util.HashMap;
import java.util.Map;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantViolationException;

/**
 * Judges a run by what callers and upstreams saw. It shares no state with the duties, so that an
 * error in their own checks does not hide a violation.
 */
final class SoakChecker {
    private static final long WITHDRAWAL_BOUND = 5 * SoakTimeline.SECOND;
    private static final long LEAVING_BOUND = 2 * SoakTimeline.SECOND;

    private final Map<KeyId, Long> mWithdrawnAt = new HashMap<>();
    private final Map<UpstreamId, Long> mLeavingSince = new HashMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private final Map<String, Integer> mCounts = new java.util.TreeMap<>();

    /** Returns how often each kind of result was seen, by name. */
    Map<String, Integer> counts() {
        return mCounts;
    }

    void count(String name) {
        mCounts.merge(name, 1, Integer::sum);
    }

    void withdrawn(KeyId key, long now) {
        mWithdrawnAt.putIfAbsent(key, now);
    }

    void leaving(UpstreamId upstream, long now) {
        mLeavingSince.putIfAbsent(upstream, now);
    }

    /**
     * An instance sends a request to an upstream.
     *
     * @param resumedAt when the process of the instance was last resumed after a pause; the bounds
     *     count from then, because a stopped process can learn nothing
     */
    void started(SoakCall call, UpstreamId upstream, long now, long resumedAt) {
        count("attempts");
        Long withdrawn = mWithdrawnAt.get(call.mKey);
        require(
                withdrawn == null || now - Math.max(withdrawn, resumedAt) <= WITHDRAWAL_BOUND,
                Invariant.WITHDRAWN_KEY_STOPS,
                call.mId + " started " + age(withdrawn, now) + " after the withdrawal");
        Long left = mLeavingSince.get(upstream);
        require(
                left == null || now - Math.max(left, resumedAt) <= LEAVING_BOUND,
                Invariant.LEAVING_UPSTREAM_IDLE,
                call.mId
                        + " sent to "
                        + upstream
                        + " "
                        + age(left, now)
                        + " after it began to"
                        + " leave");
    }

    /** An upstream runs a request. */
    void ran(SoakCall call) {
        call.mRuns++;
        require(
                !call.mPlain || call.mRuns == 1,
                Invariant.AT_MOST_ONCE,
                call.mId + " ran " + call.mRuns + " times");
        require(
                !call.mRefusedAsNotRun,
                Invariant.NOT_RUN_IS_TRUE,
                call.mId + " ran after it was refused as not run");
    }

    /** A caller receives the token with an index. */
    void token(SoakCall call, int index) {
        require(
                index == call.mDelivered && !call.mAnswered,
                Invariant.ANSWER_WHOLE_AND_OWN,
                call.mId + " got token " + index + " after " + call.mDelivered);
        call.mDelivered++;
    }

    /** A caller receives the final answer. */
    void answered(SoakCall call, Outcome outcome, String reason) {
        require(
                !call.mAnswered,
                Invariant.ANSWER_WHOLE_AND_OWN,
                call.mId + " was answered twice, then with " + reason);
        call.mAnswered = true;
        call.mRefusedAsNotRun = outcome == Outcome.NOT_RUN;
        count("answer." + reason);
        require(
                outcome != Outcome.NOT_RUN || call.mRuns == 0,
                Invariant.NOT_RUN_IS_TRUE,
                call.mId + " was refused with " + reason + " and ran " + call.mRuns + " times");
        require(
                outcome != Outcome.COMPLETED || call.mDelivered == call.mTokens && call.mRuns > 0,
                Invariant.ANSWER_WHOLE_AND_OWN,
                call.mId + " ended with " + call.mDelivered + " of " + call.mTokens + " tokens");
    }

    /** An instance puts a version of the tables in force. */
    void inForce(String start, long version) {
        Long earlier = mVersions.put(start, version);
        require(
                earlier == null || earlier < version,
                Invariant.CONFIGURATION_MONOTONIC,
                start + " put version " + version + " in force after " + earlier);
    }

    void require(boolean holds, Invariant invariant, String detail) {
        if (!holds) {
            throw new InvariantViolationException(invariant, "seen from outside: " + detail);
        }
    }

    private static String age(@org.jspecify.annotations.Nullable Long since, long now) {
        return since == null ? "never" : (now - since) / SoakTimeline.MILLI + " ms";
    }
}

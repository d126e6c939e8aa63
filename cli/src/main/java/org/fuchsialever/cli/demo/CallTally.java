package org.fuchsialever.cli.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What the callers saw. Thread-safe. */
final class CallTally {
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long WITHDRAWAL_BOUND_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Histogram mFirstByte = new Histogram(DIGITS);
    private final Histogram mTotal = new Histogram(DIGITS);
    private final Map<String, Long> mRefusals = new TreeMap<>();
    private final Map<String, TeamUse> mTeams = new TreeMap<>();
    private final Map<String, Integer> mBookings = new TreeMap<>();
    private final Set<String> mRanOnce = new TreeSet<>();
    private final List<String> mBadAnswers = new ArrayList<>();
    private String mWithdrawnKey = "";
    private long mWithdrawnNanos = Long.MAX_VALUE;
    private long mWorksAfterWithdrawal;
    private long mLiveCompleted;
    private long mLiveFailed;
    private long mPlainCompleted;

    /** Notes that the withdrawal of a key begins. */
    synchronized void withdrawing(DemoKey key, long nowNanos) {
        mWithdrawnKey = key.id();
        mWithdrawnNanos = nowNanos;
    }

    /** Notes that a booking is sent, possibly again with the same Idempotency-Key. */
    synchronized void bookingSent(String path) {
        mBookings.merge(path, 1, Integer::sum);
    }

    /** Records a complete answer; times count from sending. */
    synchronized void completed(
            DemoCall call, CallKind.Verdict verdict, long firstByteNanos, long endNanos) {
        TeamUse use = mTeams.computeIfAbsent(call.key().team(), name -> new TeamUse());
        use.mRequests++;
        use.mPromptTokens += verdict.promptTokens();
        use.mAnswerTokens += verdict.answerTokens();
        if (call.key().id().equals(mWithdrawnKey)
                && endNanos - mWithdrawnNanos > WITHDRAWAL_BOUND_NANOS) {
            mWorksAfterWithdrawal++;
        }
        if (call.kind().isLive()) {
            mLiveCompleted++;
            // The first byte of a whole answer comes with the last one.
            if (call.kind() == CallKind.STREAMED) {
                mFirstByte.recordValue(firstByteNanos - call.sentNanos());
            }
            mTotal.recordValue(endNanos - call.sentNanos());
        } else {
            mPlainCompleted++;
        }
        if (call.kind() == CallKind.BOOKING) {
            mRanOnce.add(call.path());
        }
    }

    /** Records that a call was refused, by an answer or by an event in a stream. */
    synchronized void refused(DemoCall call, String reason) {
        mRefusals.merge(reason, 1L, Long::sum);
        if (call.kind().isLive() && !call.key().id().equals(mWithdrawnKey)) {
            mLiveFailed++;
        }
    }

    /** Records an answer that is not the complete answer to the call, without a refusal. */
    synchronized void bad(DemoCall call, String problem) {
        mBadAnswers.add(call.path() + " " + call.name() + ": " + problem);
        if (call.kind().isLive()) {
            mLiveFailed++;
        }
    }

    synchronized long liveCompleted() {
        return mLiveCompleted;
    }

    synchronized long liveFailed() {
        return mLiveFailed;
    }

    synchronized long plainCompleted() {
        return mPlainCompleted;
    }

    synchronized long refusedCalls() {
        return mRefusals.values().stream().mapToLong(Long::longValue).sum();
    }

    synchronized List<String> badAnswers() {
        return List.copyOf(mBadAnswers);
    }

    synchronized long worksAfterWithdrawal() {
        return mWorksAfterWithdrawal;
    }

    /** Returns the paths of all bookings. */
    synchronized Set<String> bookings() {
        return Set.copyOf(mBookings.keySet());
    }

    /** Returns the paths of the bookings that were answered as done. */
    synchronized Set<String> bookingsDone() {
        return Set.copyOf(mRanOnce);
    }

    double firstByteMillis(double percentile) {
        return millis(mFirstByte, percentile);
    }

    double totalMillis(double percentile) {
        return millis(mTotal, percentile);
    }

    /** Adds refusals by reason and usage by team. */
    synchronized void addTo(ObjectNode body) {
        ObjectNode reasons = body.putObject("refusals");
        mRefusals.forEach(reasons::put);
        ObjectNode usage = body.putObject("usage");
        mTeams.forEach(
                (team, use) ->
                        usage.putObject(team)
                                .put("requests", use.mRequests)
                                .put("promptTokens", use.mPromptTokens)
                                .put("answerTokens", use.mAnswerTokens));
    }

    private synchronized double millis(Histogram times, double percentile) {
        return times.getTotalCount() == 0
                ? 0
                : times.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static final class TeamUse {
        private long mRequests;
        private long mPromptTokens;
        private long mAnswerTokens;
    }
}

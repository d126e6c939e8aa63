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

    private final Histogram firstByte = new Histogram(DIGITS);
    private final Histogram total = new Histogram(DIGITS);
    private final Map<String, Long> refusals = new TreeMap<>();
    private final Map<String, TeamUse> teams = new TreeMap<>();
    private final Map<String, Integer> bookings = new TreeMap<>();
    private final Set<String> ranOnce = new TreeSet<>();
    private final List<String> badAnswers = new ArrayList<>();
    private String withdrawnKey = "";
    private long withdrawnNanos = Long.MAX_VALUE;
    private long worksAfterWithdrawal;
    private long liveCompleted;
    private long liveFailed;
    private long plainCompleted;

    /** Notes that the withdrawal of a key begins. */
    synchronized void withdrawing(DemoKey key, long nowNanos) {
        withdrawnKey = key.id();
        withdrawnNanos = nowNanos;
    }

    /** Notes that a booking is sent, possibly again with the same Idempotency-Key. */
    synchronized void bookingSent(String path) {
        bookings.merge(path, 1, Integer::sum);
    }

    /** Records a complete answer; times count from sending. */
    synchronized void completed(
            DemoCall call, CallKind.Verdict verdict, long firstByteNanos, long endNanos) {
        TeamUse use = teams.computeIfAbsent(call.key().team(), name -> new TeamUse());
        use.requests++;
        use.promptTokens += verdict.promptTokens();
        use.answerTokens += verdict.answerTokens();
        if (call.key().id().equals(withdrawnKey)
                && endNanos - withdrawnNanos > WITHDRAWAL_BOUND_NANOS) {
            worksAfterWithdrawal++;
        }
        if (call.kind().isLive()) {
            liveCompleted++;
            // The first byte of a whole answer comes with the last one.
            if (call.kind() == CallKind.STREAMED) {
                firstByte.recordValue(firstByteNanos - call.sentNanos());
            }
            total.recordValue(endNanos - call.sentNanos());
        } else {
            plainCompleted++;
        }
        if (call.kind() == CallKind.BOOKING) {
            ranOnce.add(call.path());
        }
    }

    /** Records that a call was refused, by an answer or by an event in a stream. */
    synchronized void refused(DemoCall call, String reason) {
        refusals.merge(reason, 1L, Long::sum);
        if (call.kind().isLive() && !call.key().id().equals(withdrawnKey)) {
            liveFailed++;
        }
    }

    /** Records an answer that is not the complete answer to the call, without a refusal. */
    synchronized void bad(DemoCall call, String problem) {
        badAnswers.add(call.path() + " " + call.name() + ": " + problem);
        if (call.kind().isLive()) {
            liveFailed++;
        }
    }

    synchronized long liveCompleted() {
        return liveCompleted;
    }

    synchronized long liveFailed() {
        return liveFailed;
    }

    synchronized long plainCompleted() {
        return plainCompleted;
    }

    synchronized long refusedCalls() {
        return refusals.values().stream().mapToLong(Long::longValue).sum();
    }

    synchronized List<String> badAnswers() {
        return List.copyOf(badAnswers);
    }

    synchronized long worksAfterWithdrawal() {
        return worksAfterWithdrawal;
    }

    /** Returns the paths of all bookings. */
    synchronized Set<String> bookings() {
        return Set.copyOf(bookings.keySet());
    }

    /** Returns the paths of the bookings that were answered as done. */
    synchronized Set<String> bookingsDone() {
        return Set.copyOf(ranOnce);
    }

    double firstByteMillis(double percentile) {
        return millis(firstByte, percentile);
    }

    double totalMillis(double percentile) {
        return millis(total, percentile);
    }

    /** Adds refusals by reason and usage by team. */
    synchronized void addTo(ObjectNode body) {
        ObjectNode reasons = body.putObject("refusals");
        refusals.forEach(reasons::put);
        ObjectNode usage = body.putObject("usage");
        teams.forEach(
                (team, use) ->
                        usage.putObject(team)
                                .put("requests", use.requests)
                                .put("promptTokens", use.promptTokens)
                                .put("answerTokens", use.answerTokens));
    }

    private synchronized double millis(Histogram times, double percentile) {
        return times.getTotalCount() == 0
                ? 0
                : times.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static final class TeamUse {
        private long requests;
        private long promptTokens;
        private long answerTokens;
    }
}

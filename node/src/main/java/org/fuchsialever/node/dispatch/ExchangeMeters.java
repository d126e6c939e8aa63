package org.fuchsialever.node.dispatch;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.dispatch.RetryReason;
import org.fuchsialever.decisions.dispatch.stream.ChunkVerdict;

/** Counters of attempts, retries and dropped parts. */
final class ExchangeMeters {
    private final Map<ChunkVerdict, Counter> verdicts = new EnumMap<>(ChunkVerdict.class);
    private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
    private final Map<AttemptResult, Counter> attempts = new EnumMap<>(AttemptResult.class);
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Counter lateParts;
    private final Counter droppedReports;
    private final Counter lostEvents;
    private final Counter aliveProbes;
    private final Counter deadProbes;

    ExchangeMeters(MeterRegistry meters) {
        for (ChunkVerdict verdict : ChunkVerdict.values()) {
            if (verdict != ChunkVerdict.DELIVER) {
                verdicts.put(
                        verdict,
                        meters.counter("fuchsialever.tokens.dropped", "reason", verdict.code()));
            }
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.put(reason, meters.counter("fuchsialever.retries", "reason", reason.code()));
        }
        for (AttemptResult result : AttemptResult.values()) {
            String name = result.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
            attempts.put(result, meters.counter("fuchsialever.attempts", "result", name));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(
                    reason,
                    meters.counter("fuchsialever.generation.refusals", "reason", reason.code()));
        }
        lateParts = meters.counter("fuchsialever.late.parts");
        droppedReports = meters.counter("fuchsialever.dispatch.reports.dropped");
        lostEvents = meters.counter("fuchsialever.dispatch.events.lost");
        aliveProbes = meters.counter("fuchsialever.probes", "upstream", "alive");
        deadProbes = meters.counter("fuchsialever.probes", "upstream", "dead");
    }

    void dropped(ChunkVerdict verdict) {
        increment(verdicts.get(verdict));
    }

    void retried(RetryReason reason) {
        increment(retries.get(reason));
    }

    void ended(AttemptResult result) {
        increment(attempts.get(result));
    }

    /** Counts a refused generation; refused calls are counted where they are answered. */
    void generationRefused(RefusalReason reason) {
        increment(refusals.get(reason));
    }

    void latePart() {
        lateParts.increment();
    }

    void reportDropped() {
        droppedReports.increment();
    }

    void eventLost() {
        lostEvents.increment();
    }

    void probed(boolean alive) {
        (alive ? aliveProbes : deadProbes).increment();
    }

    private static void increment(@org.jspecify.annotations.Nullable Counter counter) {
        if (counter != null) {
            counter.increment();
        }
    }
}

package org.fuchsialever.node.dispatch;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.dispatch.RetryReason;
import org.fuchsialever.decisions.dispatch.stream.ChunkVerdict;

/** Counters of attempts, retries, refusals, probes and dropped events. */
final class ExchangeMeters {
    private final Map<ChunkVerdict, Counter> mVerdicts = new EnumMap<>(ChunkVerdict.class);
    private final Map<RetryReason, Counter> mRetries = new EnumMap<>(RetryReason.class);
    private final Map<AttemptResult, Counter> mAttempts = new EnumMap<>(AttemptResult.class);
    private final Map<RefusalReason, Counter> mRefusals = new EnumMap<>(RefusalReason.class);
    private final Counter mLateParts;
    private final Counter mDroppedReports;
    private final Counter mLostEvents;
    private final Counter mAliveProbes;
    private final Counter mDeadProbes;

    ExchangeMeters(MeterRegistry meters) {
        for (ChunkVerdict verdict : ChunkVerdict.values()) {
            if (verdict != ChunkVerdict.DELIVER) {
                mVerdicts.put(
                        verdict,
                        meters.counter("fuchsialever.tokens.dropped", "reason", verdict.code()));
            }
        }
        for (RetryReason reason : RetryReason.values()) {
            mRetries.put(reason, meters.counter("fuchsialever.retries", "reason", reason.code()));
        }
        for (AttemptResult result : AttemptResult.values()) {
            String name = result.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
            mAttempts.put(result, meters.counter("fuchsialever.attempts", "result", name));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            mRefusals.put(
                    reason,
                    meters.counter("fuchsialever.generation.refusals", "reason", reason.code()));
        }
        mLateParts = meters.counter("fuchsialever.late.parts");
        mDroppedReports = meters.counter("fuchsialever.dispatch.reports.dropped");
        mLostEvents = meters.counter("fuchsialever.dispatch.events.lost");
        mAliveProbes = meters.counter("fuchsialever.probes", "upstream", "alive");
        mDeadProbes = meters.counter("fuchsialever.probes", "upstream", "dead");
    }

    void chunkDropped(ChunkVerdict verdict) {
        increment(mVerdicts.get(verdict));
    }

    void retried(RetryReason reason) {
        increment(mRetries.get(reason));
    }

    void attemptEnded(AttemptResult result) {
        increment(mAttempts.get(result));
    }

    /** Counts a refused generation; the front end counts refused calls. */
    void generationRefused(RefusalReason reason) {
        increment(mRefusals.get(reason));
    }

    void latePart() {
        mLateParts.increment();
    }

    void reportDropped() {
        mDroppedReports.increment();
    }

    void eventLost() {
        mLostEvents.increment();
    }

    void probeEnded(boolean alive) {
        (alive ? mAliveProbes : mDeadProbes).increment();
    }

    private static void increment(@org.jspecify.annotations.Nullable Counter counter) {
        if (counter != null) {
            counter.increment();
        }
    }
}

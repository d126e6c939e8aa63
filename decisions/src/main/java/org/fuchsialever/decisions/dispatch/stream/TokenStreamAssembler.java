package org.fuchsialever.decisions.dispatch.stream;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Assembles the streams of successive attempts into one response in which every token occurs once
 * and in order. A token without consistent metadata is not delivered; it ends the attempt, and the
 * next attempt resumes at {@link #nextToken}.
 */
public final class TokenStreamAssembler {
    private final List<TokenRange> ranges = new ArrayList<>();
    private Option<UpstreamId> upstream = Option.none();
    private Option<String> engineStart = Option.none();
    private boolean attemptFailed;
    private int attempt;
    private int nextToken;
    private long duplicates;
    private long lateChunks;

    /**
     * Starts an attempt; chunks of earlier attempts are dropped from now on.
     *
     * @param number the number of the attempt
     * @param engine the upstream that serves the attempt
     * @return the index of the first token to request
     */
    public int begin(int number, UpstreamId engine) {
        attempt = number;
        upstream = Option.some(engine);
        engineStart = Option.none();
        attemptFailed = false;
        return nextToken;
    }

    /**
     * Checks one chunk and records its token if it is the next one.
     *
     * @param number the attempt that it belongs to
     * @return how the chunk is handled
     */
    public ChunkVerdict accept(int number, EngineChunk chunk) {
        if (number != attempt || upstream.isEmpty()) {
            lateChunks++;
            return ChunkVerdict.LATE;
        }
        if (attemptFailed) {
            return ChunkVerdict.AFTER_DOUBT;
        }
        ChunkVerdict verdict = classify(chunk);
        if (verdict == ChunkVerdict.DELIVER) {
            append(chunk.version().get(), upstream.get());
        } else if (verdict == ChunkVerdict.DUPLICATE) {
            duplicates++;
        }
        attemptFailed = verdict.endsAttempt();
        return verdict;
    }

    /** Returns the index of the first token that has not been delivered. */
    public int nextToken() {
        return nextToken;
    }

    /** Returns the delivered tokens by version and upstream, in order and without gaps. */
    public List<TokenRange> ranges() {
        return List.copyOf(ranges);
    }

    /** Returns how many tokens were dropped because they had been delivered before. */
    public long duplicates() {
        return duplicates;
    }

    /** Returns how many chunks of earlier attempts were dropped. */
    public long lateChunks() {
        return lateChunks;
    }

    private ChunkVerdict classify(EngineChunk chunk) {
        if (chunk.engineStartId().isEmpty()
                || (engineStart.isDefined() && !engineStart.equals(chunk.engineStartId()))) {
            return ChunkVerdict.ENGINE_START_CHANGED;
        }
        engineStart = chunk.engineStartId();
        if (chunk.tokenIndex() < nextToken) {
            return ChunkVerdict.DUPLICATE;
        }
        if (chunk.tokenIndex() > nextToken) {
            return ChunkVerdict.GAP;
        }
        return chunk.version().isEmpty() ? ChunkVerdict.NO_VERSION : ChunkVerdict.DELIVER;
    }

    private void append(WeightVersion version, UpstreamId engine) {
        int from = nextToken;
        nextToken++;
        if (!ranges.isEmpty()) {
            TokenRange last = ranges.get(ranges.size() - 1);
            if (last.version().equals(version) && last.upstream().equals(engine)) {
                ranges.remove(ranges.size() - 1);
                from = last.from();
            }
        }
        ranges.add(new TokenRange(from, nextToken, version, engine));
    }
}

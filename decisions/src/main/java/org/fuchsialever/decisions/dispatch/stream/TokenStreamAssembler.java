package org.fuchsialever.decisions.dispatch.stream;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.model.TokenRange;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Joins the streams of successive attempts to one answer in which every token occurs once and in
 * order. A token whose provenance is in doubt is not delivered; the attempt is over and the next
 * one continues from {@link #nextToken}.
 */
public final class TokenStreamAssembler {
    private final List<TokenRange> ranges = new ArrayList<>();
    private Option<UpstreamId> upstream = Option.none();
    private Option<String> engineStart = Option.none();
    private boolean doubtful;
    private int attempt;
    private int nextToken;
    private long duplicates;
    private long lateChunks;

    /**
     * Begins an attempt; chunks of earlier ones are late from now on.
     *
     * @param number the number of the attempt
     * @param engine the upstream that is asked
     * @return the index of the first token to ask for
     */
    public int begin(int number, UpstreamId engine) {
        attempt = number;
        upstream = Option.some(engine);
        engineStart = Option.none();
        doubtful = false;
        return nextToken;
    }

    /**
     * Takes one chunk.
     *
     * @param number the attempt that it belongs to
     * @param chunk the chunk
     * @return what becomes of it
     */
    public ChunkVerdict accept(int number, EngineChunk chunk) {
        if (number != attempt || upstream.isEmpty()) {
            lateChunks++;
            return ChunkVerdict.LATE;
        }
        if (doubtful) {
            return ChunkVerdict.AFTER_DOUBT;
        }
        ChunkVerdict verdict = judge(chunk);
        if (verdict == ChunkVerdict.DELIVER) {
            append(chunk.version().get(), upstream.get());
        } else if (verdict == ChunkVerdict.DUPLICATE) {
            duplicates++;
        }
        doubtful = verdict.endsAttempt();
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

    private ChunkVerdict judge(EngineChunk chunk) {
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

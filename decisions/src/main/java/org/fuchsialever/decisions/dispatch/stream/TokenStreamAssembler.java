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
    private final List<TokenRange> mRanges = new ArrayList<>();
    private Option<UpstreamId> mUpstream = Option.none();
    private Option<String> mEngineStart = Option.none();
    private boolean mAttemptFailed;
    private int mAttempt;
    private int mNextToken;
    private long mDuplicates;
    private long mLateChunks;

    /**
     * Starts an attempt; chunks of earlier attempts are dropped from now on.
     *
     * @param number the number of the attempt
     * @param engine the upstream that serves the attempt
     * @return the index of the first token to request
     */
    public int begin(int number, UpstreamId engine) {
        mAttempt = number;
        mUpstream = Option.some(engine);
        mEngineStart = Option.none();
        mAttemptFailed = false;
        return mNextToken;
    }

    /**
     * Checks one chunk and records its token if it is the next one.
     *
     * @param number the attempt that it belongs to
     * @return how the chunk is handled
     */
    public ChunkVerdict accept(int number, EngineChunk chunk) {
        if (number != mAttempt || mUpstream.isEmpty()) {
            mLateChunks++;
            return ChunkVerdict.LATE;
        }
        if (mAttemptFailed) {
            return ChunkVerdict.AFTER_DOUBT;
        }
        ChunkVerdict verdict = classify(chunk);
        if (verdict == ChunkVerdict.DELIVER) {
            append(chunk.version().get(), mUpstream.get());
        } else if (verdict == ChunkVerdict.DUPLICATE) {
            mDuplicates++;
        }
        mAttemptFailed = verdict.endsAttempt();
        return verdict;
    }

    /** Returns the index of the first token that has not been delivered. */
    public int nextToken() {
        return mNextToken;
    }

    /** Returns the delivered tokens by version and upstream, in order and without gaps. */
    public List<TokenRange> ranges() {
        return List.copyOf(mRanges);
    }

    /** Returns how many tokens were dropped because they had been delivered before. */
    public long duplicates() {
        return mDuplicates;
    }

    /** Returns how many chunks of earlier attempts were dropped. */
    public long lateChunks() {
        return mLateChunks;
    }

    private ChunkVerdict classify(EngineChunk chunk) {
        if (chunk.engineStartId().isEmpty()
                || (mEngineStart.isDefined() && !mEngineStart.equals(chunk.engineStartId()))) {
            return ChunkVerdict.ENGINE_START_CHANGED;
        }
        mEngineStart = chunk.engineStartId();
        if (chunk.tokenIndex() < mNextToken) {
            return ChunkVerdict.DUPLICATE;
        }
        if (chunk.tokenIndex() > mNextToken) {
            return ChunkVerdict.GAP;
        }
        return chunk.version().isEmpty() ? ChunkVerdict.NO_VERSION : ChunkVerdict.DELIVER;
    }

    private void append(WeightVersion version, UpstreamId engine) {
        int from = mNextToken;
        mNextToken++;
        if (!mRanges.isEmpty()) {
            TokenRange last = mRanges.get(mRanges.size() - 1);
            if (last.version().equals(version) && last.upstream().equals(engine)) {
                mRanges.remove(mRanges.size() - 1);
                from = last.from();
            }
        }
        mRanges.add(new TokenRange(from, mNextToken, version, engine));
    }
}

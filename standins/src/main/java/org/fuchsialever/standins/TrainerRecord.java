package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Samples that a trainer received, checked against the delivery guarantees. Thread-safe. */
public final class TrainerRecord {
    private final long mMaxStaleness;
    private final Set<String> mSampleIds = new HashSet<>();
    private final Map<Long, Integer> mSamplesByStep = new HashMap<>();
    private final List<String> mDuplicates = new ArrayList<>();
    private final List<String> mGaps = new ArrayList<>();
    private final List<String> mStale = new ArrayList<>();
    private final List<String> mWithBrokenRanges = new ArrayList<>();
    private long mLastPosition = -1;
    private long mRepeatedSampleCount;
    private long mNewestVersion;
    private long mTokens;

    /**
     * Creates an empty record.
     *
     * @param maxStaleness the staleness bound in weight versions
     */
    public TrainerRecord(long maxStaleness) {
        mMaxStaleness = maxStaleness;
    }

    /**
     * Records a delivered sample; positions count from 0. A position at or below the last one is a
     * repetition, which a trainer drops; the same sample ID at a new position is a duplicate.
     *
     * @param sample the sample as delivered
     * @return whether the sample is new
     */
    public synchronized boolean receive(JsonNode sample) {
        long position = sample.path("position").asLong();
        if (position <= mLastPosition) {
            mRepeatedSampleCount++;
            return false;
        }
        if (position != mLastPosition + 1) {
            mGaps.add((mLastPosition + 1) + " to " + (position - 1));
        }
        mLastPosition = position;
        long step = sample.path("step").asLong();
        String sampleId =
                step + "/" + sample.path("group").asText() + "/" + sample.path("index").asText();
        checkRanges(sampleId, sample.path("ranges"));
        if (!mSampleIds.add(sampleId)) {
            mDuplicates.add(sampleId);
            return false;
        }
        mSamplesByStep.merge(step, 1, Integer::sum);
        return true;
    }

    /** Sets the newest weight version that the trainer has produced. */
    public synchronized void newestVersion(long version) {
        mNewestVersion = Math.max(mNewestVersion, version);
    }

    /** Returns the newest weight version that the trainer has produced. */
    public synchronized long newestVersion() {
        return mNewestVersion;
    }

    /** Returns the number of distinct samples of a step. */
    public synchronized int samplesOf(long step) {
        return mSamplesByStep.getOrDefault(step, 0);
    }

    /** Returns the number of distinct samples. */
    public synchronized int samples() {
        return mSampleIds.size();
    }

    /** Returns the number of tokens in all received samples, including duplicates. */
    public synchronized long tokens() {
        return mTokens;
    }

    /** Returns the samples that were delivered at more than one position. */
    public synchronized List<String> duplicates() {
        return List.copyOf(mDuplicates);
    }

    /** Returns the ranges of positions that were skipped. */
    public synchronized List<String> gaps() {
        return List.copyOf(mGaps);
    }

    /** Returns the samples that were older than the staleness bound when they arrived. */
    public synchronized List<String> staleSamples() {
        return List.copyOf(mStale);
    }

    /** Returns the samples whose token ranges are not contiguous from token 0. */
    public synchronized List<String> samplesWithBrokenRanges() {
        return List.copyOf(mWithBrokenRanges);
    }

    /** Returns the number of samples sent again at positions that were already received. */
    public synchronized long repeatedSampleCount() {
        return mRepeatedSampleCount;
    }

    private void checkRanges(String sampleId, JsonNode ranges) {
        long next = 0;
        long oldest = Long.MAX_VALUE;
        for (JsonNode range : ranges) {
            oldest = Math.min(oldest, range.path("weight_version").asLong());
            if (range.path("from").asLong() != next) {
                mWithBrokenRanges.add(sampleId);
                return;
            }
            next = range.path("to").asLong();
        }
        mTokens += next;
        if (ranges.isEmpty()) {
            mWithBrokenRanges.add(sampleId);
        } else if (mNewestVersion - oldest > mMaxStaleness) {
            mStale.add(sampleId);
        }
    }
}

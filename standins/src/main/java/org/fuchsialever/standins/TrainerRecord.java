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
    private final long maxStaleness;
    private final Set<String> sampleIds = new HashSet<>();
    private final Map<Long, Integer> samplesByStep = new HashMap<>();
    private final List<String> duplicates = new ArrayList<>();
    private final List<String> gaps = new ArrayList<>();
    private final List<String> stale = new ArrayList<>();
    private final List<String> withBrokenRanges = new ArrayList<>();
    private long lastPosition = -1;
    private long repeatedSampleCount;
    private long newestVersion;
    private long tokens;

    /**
     * Creates an empty record.
     *
     * @param maxStaleness the staleness bound in weight versions
     */
    public TrainerRecord(long maxStaleness) {
        this.maxStaleness = maxStaleness;
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
        if (position <= lastPosition) {
            repeatedSampleCount++;
            return false;
        }
        if (position != lastPosition + 1) {
            gaps.add((lastPosition + 1) + " to " + (position - 1));
        }
        lastPosition = position;
        long step = sample.path("step").asLong();
        String sampleId =
                step + "/" + sample.path("group").asText() + "/" + sample.path("index").asText();
        checkRanges(sampleId, sample.path("ranges"));
        if (!sampleIds.add(sampleId)) {
            duplicates.add(sampleId);
            return false;
        }
        samplesByStep.merge(step, 1, Integer::sum);
        return true;
    }

    /** Sets the newest weight version that the trainer has produced. */
    public synchronized void newestVersion(long version) {
        newestVersion = Math.max(newestVersion, version);
    }

    /** Returns the newest weight version that the trainer has produced. */
    public synchronized long newestVersion() {
        return newestVersion;
    }

    /** Returns the number of distinct samples of a step. */
    public synchronized int samplesOf(long step) {
        return samplesByStep.getOrDefault(step, 0);
    }

    /** Returns the number of distinct samples. */
    public synchronized int samples() {
        return sampleIds.size();
    }

    /** Returns the number of tokens in all received samples, including duplicates. */
    public synchronized long tokens() {
        return tokens;
    }

    /** Returns the samples that were delivered at more than one position. */
    public synchronized List<String> duplicates() {
        return List.copyOf(duplicates);
    }

    /** Returns the ranges of positions that were skipped. */
    public synchronized List<String> gaps() {
        return List.copyOf(gaps);
    }

    /** Returns the samples that were older than the staleness bound when they arrived. */
    public synchronized List<String> staleSamples() {
        return List.copyOf(stale);
    }

    /** Returns the samples whose token ranges are not contiguous from token 0. */
    public synchronized List<String> samplesWithBrokenRanges() {
        return List.copyOf(withBrokenRanges);
    }

    /** Returns the number of samples sent again at positions that were already received. */
    public synchronized long repeatedSampleCount() {
        return repeatedSampleCount;
    }

    private void checkRanges(String sampleId, JsonNode ranges) {
        long next = 0;
        long oldest = Long.MAX_VALUE;
        for (JsonNode range : ranges) {
            oldest = Math.min(oldest, range.path("weight_version").asLong());
            if (range.path("from").asLong() != next) {
                withBrokenRanges.add(sampleId);
                return;
            }
            next = range.path("to").asLong();
        }
        tokens += next;
        if (ranges.isEmpty()) {
            withBrokenRanges.add(sampleId);
        } else if (newestVersion - oldest > maxStaleness) {
            stale.add(sampleId);
        }
    }
}

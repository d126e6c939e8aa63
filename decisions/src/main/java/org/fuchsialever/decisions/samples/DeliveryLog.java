package org.fuchsialever.decisions.samples;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** The committed delivery order of one trainer and its acknowledged cursor. */
final class DeliveryLog {
    private final InvariantMonitor invariants;
    private final NavigableMap<Long, BatchRecord> byPosition = new TreeMap<>();
    private final Set<Long> positionsBeingReplaced = new HashSet<>();
    private long acknowledged;
    private long firstBatch;
    private long nextBatch;
    private long end;

    DeliveryLog(LogHead head, List<BatchRecord> batches, InvariantMonitor invariants) {
        this.invariants = invariants;
        this.acknowledged = head.acknowledged();
        this.firstBatch = head.firstBatch();
        this.nextBatch = head.nextBatch();
        this.end = head.nextPosition();
        batches.forEach(batch -> byPosition.put(batch.firstPosition(), batch));
    }

    long acknowledged() {
        return acknowledged;
    }

    long firstBatch() {
        return firstBatch;
    }

    long nextBatch() {
        return nextBatch;
    }

    long end() {
        return end;
    }

    boolean acknowledge(long cursor) {
        if (cursor <= acknowledged) {
            return false;
        }
        acknowledged = cursor;
        return true;
    }

    /**
     * Returns the entries from a position up to the first one that is stale or being replaced.
     *
     * @param stale whether an entry is too stale to be delivered
     */
    List<BatchEntry> deliverable(long from, int limit, Predicate<BatchEntry> stale) {
        List<BatchEntry> entries = new ArrayList<>();
        long last = Math.min(end, from + limit);
        for (long position = from; position < last; position++) {
            BatchEntry entry = entry(position);
            if (positionsBeingReplaced.contains(position) || stale.test(entry)) {
                break;
            }
            entries.add(entry);
        }
        return entries;
    }

    /** Returns the positions of stale entries and marks them as being replaced. */
    List<Long> markStaleForReplacement(long from, int limit, Predicate<BatchEntry> stale) {
        List<Long> positions = new ArrayList<>();
        long last = Math.min(end, from + limit);
        for (long position = from; position < last; position++) {
            if (!positionsBeingReplaced.contains(position) && stale.test(entry(position))) {
                positionsBeingReplaced.add(position);
                positions.add(position);
            }
        }
        return positions;
    }

    BatchEntry entry(long position) {
        BatchRecord batch = batchAt(position);
        return batch.entries().get((int) (position - batch.firstPosition()));
    }

    /** Returns a copy of the batch with one entry replaced. */
    BatchRecord withReplacement(BatchRecord batch, long position, BatchEntry replacement) {
        List<BatchEntry> entries = new ArrayList<>(batch.entries());
        BatchEntry earlier = entries.set((int) (position - batch.firstPosition()), replacement);
        invariants.check(
                Invariant.SAMPLE_EXACTLY_ONCE,
                earlier.id().equals(replacement.id()),
                () -> "position " + position + " changed to " + replacement.id());
        return new BatchRecord(batch.number(), batch.firstPosition(), entries);
    }

    BatchRecord batchAt(long position) {
        Map.Entry<Long, BatchRecord> found = byPosition.floorEntry(position);
        if (found == null || position >= found.getValue().endPosition()) {
            throw new IllegalStateException("no batch holds position " + position);
        }
        return found.getValue();
    }

    /** Applies a commit that took effect. */
    void onCommitted(HeadCommit commit) {
        for (BatchRecord batch : commit.batches()) {
            byPosition.put(batch.firstPosition(), batch);
        }
        nextBatch = commit.head().nextBatch();
        end = commit.head().nextPosition();
        firstBatch = commit.head().firstBatch();
        byPosition.values().removeIf(batch -> batch.number() < firstBatch);
    }

    void onReplaced(long position) {
        positionsBeingReplaced.remove(position);
    }

    /**
     * Returns the number of the first batch with an unacknowledged sample or a sample of an open
     * step.
     */
    long firstNeededBatch(Set<Long> openSteps) {
        for (BatchRecord batch : byPosition.values()) {
            boolean needed =
                    batch.endPosition() > acknowledged
                            || batch.entries().stream()
                                    .anyMatch(entry -> openSteps.contains(entry.id().step()));
            if (needed) {
                return batch.number();
            }
        }
        return nextBatch;
    }

    Iterable<BatchRecord> batches() {
        return byPosition.values();
    }
}

package org.fuchsialever.decisions.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory that the contents of submissions take at their owner. A submission that finds
 * no room stays in the store, where this or another instance takes it once it has room.
 */
final class ContentBudget {
    /** While a content is read, its stored form takes memory beside the parsed one. */
    private static final int LOADING_DIVISOR = 3;

    private final long mMaxBytes;
    private final Map<String, Long> mLoading = new HashMap<>();
    private final Map<String, Long> mOwned = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param maxBytes the memory for contents in bytes; a single larger one is admitted alone
     */
    ContentBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns whether there is room to load a submission. */
    boolean admitsLoading(BatchState state) {
        long bytes = state.content().memoryBytes();
        long loading = sum(mLoading);
        return hasRoom(bytes) && (loading == 0 || loading + bytes <= mMaxBytes / LOADING_DIVISOR);
    }

    /** Returns whether there is room for a submission whose content is in memory already. */
    boolean admitsOpening(BatchState state) {
        return isLoading(state.id()) || hasRoom(state.content().memoryBytes());
    }

    private boolean hasRoom(long bytes) {
        long used = sum(mLoading) + sum(mOwned);
        return used == 0 || used + bytes <= mMaxBytes;
    }

    /** Reserves room for a submission that is being loaded. */
    void startLoading(BatchState state) {
        mLoading.put(state.id(), state.content().memoryBytes());
    }

    /** Returns whether a submission is being loaded. */
    boolean isLoading(String id) {
        return mLoading.containsKey(id);
    }

    /** Notes that a submission is not being loaded any more. */
    void endLoading(String id) {
        mLoading.remove(id);
    }

    /** Reserves room for a submission until it is closed. */
    void open(BatchState state) {
        mOwned.put(state.id(), state.content().memoryBytes());
    }

    /** Frees the room of a submission. */
    void close(String id) {
        mOwned.remove(id);
    }

    private static long sum(Map<String, Long> bytes) {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }
}

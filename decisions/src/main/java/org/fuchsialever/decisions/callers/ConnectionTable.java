package org.fuchsialever.decisions.callers;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The open connections by stage, each stage from the one that is in it for the longest time;
 * decides which are closed. Has one user at a time.
 */
public final class ConnectionTable {
    /** The part of the unread responses that is given up at once. */
    private static final int STALLED_DIVISOR = 4;

    private final Supplier<CallerLimits> mLimits;
    private final Map<Long, ConnectionStage> mStages = new HashMap<>();
    private final Map<ConnectionStage, Map<Long, Long>> mSince =
            new EnumMap<>(ConnectionStage.class);

    /**
     * Creates a table without connections.
     *
     * @param limits the limits in force, which may change
     */
    public ConnectionTable(Supplier<CallerLimits> limits) {
        mLimits = limits;
    }

    /** Returns whether a connection must be closed before another is added. */
    public boolean isFull() {
        return mStages.size() >= mLimits.get().connections();
    }

    /** Adds a connection, or enters another stage; entering the same one again starts its time. */
    public void enter(long connection, ConnectionStage stage, long now) {
        remove(connection);
        mStages.put(connection, stage);
        since(stage).put(connection, now);
    }

    /** Removes a connection; does nothing if it is not open. */
    public void remove(long connection) {
        ConnectionStage stage = mStages.remove(connection);
        if (stage != null) {
            since(stage).remove(connection);
        }
    }

    /** Returns the stage of an open connection. */
    public Option<ConnectionStage> stage(long connection) {
        return Option.of(mStages.get(connection));
    }

    /** Returns the connection that is closed first to make room for another. */
    public Option<Long> firstToClose(long now) {
        for (ConnectionStage stage : ConnectionStage.CLOSING_ORDER) {
            Option<Long> longest = firstToClose(stage, now);
            if (longest.isDefined()) {
                return longest;
            }
        }
        return Option.none();
    }

    /** Returns the connection that is in a stage for the longest time, if it may be closed. */
    public Option<Long> firstToClose(ConnectionStage stage, long now) {
        Iterator<Map.Entry<Long, Long>> open = since(stage).entrySet().iterator();
        if (!open.hasNext()) {
            return Option.none();
        }
        Map.Entry<Long, Long> longest = open.next();
        return stage.yields(now - longest.getValue(), mLimits.get())
                ? Option.some(longest.getKey())
                : Option.none();
    }

    /** Returns the connections whose time in their stage is over. */
    public List<Long> overdue(long now) {
        CallerLimits limits = mLimits.get();
        List<Long> overdue = new ArrayList<>();
        for (Map.Entry<ConnectionStage, Map<Long, Long>> stage : mSince.entrySet()) {
            long limit = stage.getKey().limitNanos(limits);
            for (Map.Entry<Long, Long> open : stage.getValue().entrySet()) {
                if (now - open.getValue() < limit) {
                    // The others are in the stage for a shorter time.
                    break;
                }
                overdue.add(open.getKey());
            }
        }
        return overdue;
    }

    /**
     * Returns some of the connections whose callers may have stopped reading, from the one that has
     * waited for the longest time. The others follow if that makes too little room.
     */
    public List<Long> stalled(long now) {
        Map<Long, Long> open = since(ConnectionStage.RESPONSE);
        CallerLimits limits = mLimits.get();
        return open.entrySet().stream()
                .limit((open.size() + STALLED_DIVISOR - 1) / STALLED_DIVISOR)
                .filter(one -> ConnectionStage.RESPONSE.yields(now - one.getValue(), limits))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether time alone can close a connection. */
    public boolean needsChecks() {
        return ConnectionStage.TIMED.stream().anyMatch(stage -> !since(stage).isEmpty());
    }

    /** Returns the number of connections in a stage. */
    public int count(ConnectionStage stage) {
        return since(stage).size();
    }

    private Map<Long, Long> since(ConnectionStage stage) {
        return mSince.computeIfAbsent(stage, key -> new LinkedHashMap<>());
    }
}

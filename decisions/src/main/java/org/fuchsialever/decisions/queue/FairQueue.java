package org.fuchsialever.decisions.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The calls that wait for a slot of one service. The most urgent rank goes first and within it the
 * latest stage, but what is less urgent gets one turn in {@value #TURNS}. Among equals the call
 * that is due first goes first, as long as its team is within its share of the pool. Single writer.
 *
 * @param <T> the calls
 */
public final class FairQueue<T> {
    /** Less urgent calls are delayed at most eightfold, more urgent ones by an eighth. */
    static final int TURNS = 8;

    private final TreeMap<UrgencyClass, TeamShares<T>> mShares = new TreeMap<>();
    private final Map<UrgencyClass, Integer> mTurns = new HashMap<>();
    private final Map<T, QueuePlace> mPlaces = new HashMap<>();
    private final TreeMap<UrgencyClass, Integer> mCounts = new TreeMap<>();
    private Map<String, Double> mWeights = Map.of();
    private int mSlots;

    /** Sets the number of calls that the pool runs at once. */
    public void setSlots(int slots) {
        mSlots = slots;
    }

    /**
     * Sets the weights of teams.
     *
     * @param weights weight by team; 1 for teams that are not in the map
     */
    public void setWeights(Map<String, Double> weights) {
        mWeights = Map.copyOf(weights);
    }

    /** Returns the number of calls that wait. */
    public int size() {
        return mPlaces.size();
    }

    /** Returns the number of waiting calls up to a stage of a rank, which go before later ones. */
    public int sizeUpTo(int rank, int stage) {
        return mCounts.headMap(new UrgencyClass(rank, stage), true).values().stream()
                .mapToInt(count -> count)
                .sum();
    }

    /** Adds a call. */
    public void add(T call, QueuePlace place) {
        mPlaces.put(call, place);
        mCounts.merge(UrgencyClass.of(place), 1, Integer::sum);
        mShares.computeIfAbsent(UrgencyClass.of(place), key -> new TeamShares<>()).add(call, place);
    }

    /** Removes a call that no longer waits; returns whether it did. */
    public boolean remove(T call) {
        QueuePlace place = mPlaces.remove(call);
        if (place == null) {
            return false;
        }
        mCounts.computeIfPresent(
                UrgencyClass.of(place), (key, count) -> count > 1 ? count - 1 : null);
        UrgencyClass urgency = UrgencyClass.of(place);
        TeamShares<T> shares = mShares.get(urgency);
        if (shares != null) {
            shares.remove(place);
            if (shares.isEmpty()) {
                // Without a queue there is no share to be measured, so nobody keeps a credit.
                mShares.remove(urgency);
                mTurns.remove(urgency);
            }
        }
        return true;
    }

    /**
     * Offers a slot to one call after the other, until none of them finds room.
     *
     * @param start starts a call; false if no upstream has room for it
     */
    public void drain(Predicate<T> start) {
        // Whether there is room depends on few properties, so one call tells for many.
        Set<Object> withoutRoom = new HashSet<>();
        UrgencyClass urgency = nextClass(withoutRoom);
        while (urgency != null) {
            T call = next(urgency, withoutRoom);
            QueuePlace place = call == null ? null : mPlaces.get(call);
            if (call == null || place == null) {
                return;
            }
            if (start.test(call)) {
                TeamShares<T> shares = mShares.get(urgency);
                remove(call);
                if (shares != null) {
                    shares.charge(place.team(), place.cost(), mWeights);
                }
                noteTurn(urgency);
            } else {
                withoutRoom.add(place.room());
            }
            urgency = nextClass(withoutRoom);
        }
    }

    /** Counts a call that did not wait against the share of its team. */
    public void charge(QueuePlace place) {
        TeamShares<T> shares = mShares.get(UrgencyClass.of(place));
        if (shares != null) {
            shares.charge(place.team(), place.cost(), mWeights);
        }
    }

    private @Nullable T next(UrgencyClass urgency, Set<Object> withoutRoom) {
        TeamShares<T> shares = mShares.get(urgency);
        return shares == null ? null : shares.next(withoutRoom, mSlots, mWeights);
    }

    /** Returns the class whose turn it is among those that may find room. */
    private @Nullable UrgencyClass nextClass(Set<Object> withoutRoom) {
        UrgencyClass chosen = null;
        for (Map.Entry<UrgencyClass, TeamShares<T>> entry : mShares.entrySet()) {
            if (entry.getValue().mayFindRoom(withoutRoom)) {
                chosen = entry.getKey();
                if (mTurns.getOrDefault(chosen, 0) < TURNS - 1) {
                    return chosen;
                }
            }
        }
        return chosen;
    }

    /** Counts a turn of a class, and ends the wait of the more urgent ones that stood back. */
    private void noteTurn(UrgencyClass urgency) {
        mTurns.keySet().removeIf(other -> other.compareTo(urgency) < 0);
        boolean othersWait = mShares.higherKey(urgency) != null;
        mTurns.merge(urgency, othersWait ? 1 : 0, Integer::sum);
    }

    /** The calls of one rank and stage, between which a pool is not shared by team. */
    private record UrgencyClass(int rank, int stage) implements Comparable<UrgencyClass> {
        private static final Comparator<UrgencyClass> ORDER =
                Comparator.comparingInt(UrgencyClass::rank).thenComparingInt(UrgencyClass::stage);

        static UrgencyClass of(QueuePlace place) {
            return new UrgencyClass(place.rank(), place.stage());
        }

        @Override
        public int compareTo(UrgencyClass other) {
            return ORDER.compare(this, other);
        }
    }
}

package org.fuchsialever.decisions.orders;

import java.util.ArrayDeque;
import java.util.Deque;

/** Maximum need within a sliding window. */
final class PeakNeed {
    private final Deque<Observation> mObservations = new ArrayDeque<>();

    CapacityNeed add(CapacityNeed need, long now, double keepSeconds) {
        mObservations.addLast(new Observation(now, need));
        long oldest = now - (long) (keepSeconds * 1e9);
        while (mObservations.getFirst().nanos < oldest) {
            mObservations.removeFirst();
        }
        CapacityNeed greatest = need;
        for (Observation observation : mObservations) {
            greatest = greatest.max(observation.need);
        }
        return greatest;
    }

    private record Observation(long nanos, CapacityNeed need) {}
}

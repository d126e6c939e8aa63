package org.fuchsialever.decisions.orders;

import java.util.ArrayDeque;
import java.util.Deque;

/** Maximum need within a sliding window. */
final class PeakNeed {
    private final Deque<Observation> observations = new ArrayDeque<>();

    CapacityNeed add(CapacityNeed need, long now, double keepSeconds) {
        observations.addLast(new Observation(now, need));
        long oldest = now - (long) (keepSeconds * 1e9);
        while (observations.getFirst().nanos < oldest) {
            observations.removeFirst();
        }
        CapacityNeed greatest = need;
        for (Observation observation : observations) {
            greatest = greatest.max(observation.need);
        }
        return greatest;
    }

    private record Observation(long nanos, CapacityNeed need) {}
}

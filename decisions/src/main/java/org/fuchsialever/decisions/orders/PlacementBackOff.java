package org.fuchsialever.decisions.orders;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Exponential back-off for placements in which capacity was refused or reclaimed. */
final class PlacementBackOff {
    private static final long INITIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long MAX_DELAY_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator mRandom;
    private final Map<CapacityPlacement, Refusals> mRefusals = new HashMap<>();

    PlacementBackOff(RandomGenerator random) {
        mRandom = random;
    }

    /** Counts the refusals of one plan once: refusals that arrive during the delay are ignored. */
    void onRefused(CapacityPlacement placement, long now) {
        Refusals earlier = mRefusals.getOrDefault(placement, new Refusals(0, now));
        if (earlier.until > now) {
            return;
        }
        long bound =
                Math.min(
                        MAX_DELAY_NANOS,
                        INITIAL_DELAY_NANOS << Math.min(MAX_DOUBLINGS, earlier.count));
        long delay = bound / 2 + mRandom.nextLong(bound / 2 + 1);
        mRefusals.put(placement, new Refusals(earlier.count + 1, now + delay));
    }

    void onAccepted(CapacityPlacement placement) {
        mRefusals.remove(placement);
    }

    Set<CapacityPlacement> unavailable(long now) {
        Set<CapacityPlacement> placements = new HashSet<>();
        mRefusals.forEach(
                (placement, refused) -> {
                    if (refused.until > now) {
                        placements.add(placement);
                    }
                });
        return placements;
    }

    private record Refusals(int count, long until) {}
}

package org.fuchsialever.decisions.orders;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Places in which capacity was refused or reclaimed, with a growing delay before the next try. */
final class PlaceBackOff {
    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long LONGEST_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private final Map<CapacityPlacement, Refusals> refusals = new HashMap<>();

    PlaceBackOff(RandomGenerator random) {
        this.random = random;
    }

    /** Counts refusals of one plan once: refusals that arrive while the delay runs add nothing. */
    void refused(CapacityPlacement place, long now) {
        Refusals earlier = refusals.getOrDefault(place, new Refusals(0, now));
        if (earlier.until > now) {
            return;
        }
        long bound = Math.min(LONGEST_NANOS, FIRST_NANOS << Math.min(MAX_DOUBLINGS, earlier.count));
        long delay = bound / 2 + random.nextLong(bound / 2 + 1);
        refusals.put(place, new Refusals(earlier.count + 1, now + delay));
    }

    void accepted(CapacityPlacement place) {
        refusals.remove(place);
    }

    Set<CapacityPlacement> unavailable(long now) {
        Set<CapacityPlacement> places = new HashSet<>();
        refusals.forEach(
                (place, refused) -> {
                    if (refused.until > now) {
                        places.add(place);
                    }
                });
        return places;
    }

    private record Refusals(int count, long until) {}
}

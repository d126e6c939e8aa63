package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses among upstreams by the expected time of completion.
 *
 * <p>Instances choose by reports that lag, so the one upstream that looks best would get the calls
 * of all of them. The choice is between two random ones of those that are nearly as good.
 */
final class EarliestCompletion {
    /** Relative difference of estimates that does not matter. */
    private static final double TOLERANCE = 0.1;

    /** Difference of estimates that does not matter, about the time to open a connection. */
    private static final long MIN_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    /** Part of the tolerance below which an open connection decides between two upstreams. */
    private static final int EQUAL_FRACTION = 4;

    /**
     * One in so many choices between equals ignores the open connection. Otherwise the upstream
     * that was used least recently would never be used again, and its estimate would stay as it is.
     */
    private static final int CHOICES_PER_EXCEPTION = 16;

    private final RandomGenerator mRandom;

    EarliestCompletion(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Returns the choice among candidates, none if there is no candidate.
     *
     * @param preferred name of an upstream that has the prompt cached, empty if there is none
     */
    Option<ChosenUpstream> choose(
            List<UpstreamState> candidates,
            ToLongFunction<UpstreamState> estimate,
            String preferred) {
        if (candidates.isEmpty()) {
            return Option.none();
        }
        List<ChosenUpstream> estimated = new ArrayList<>(candidates.size());
        long earliest = Long.MAX_VALUE;
        for (UpstreamState candidate : candidates) {
            long nanos = estimate.applyAsLong(candidate);
            earliest = Math.min(earliest, nanos);
            estimated.add(new ChosenUpstream(candidate, ChoiceBasis.NEAR_EARLIEST, nanos));
        }
        long tolerance = Math.max(MIN_TOLERANCE_NANOS, (long) (earliest * TOLERANCE));
        long latest = earliest + tolerance;
        estimated.removeIf(chosen -> chosen.expectedNanos() > latest);
        for (ChosenUpstream near : estimated) {
            if (near.upstream().spec().id().equals(preferred)) {
                return Option.some(near.on(ChoiceBasis.CACHED_PROMPT));
            }
        }
        if (estimated.size() == 1) {
            return Option.some(estimated.get(0).on(ChoiceBasis.EARLIEST));
        }
        return Option.some(betterOfTwo(estimated, tolerance / EQUAL_FRACTION));
    }

    private ChosenUpstream betterOfTwo(List<ChosenUpstream> near, long equal) {
        int first = mRandom.nextInt(near.size());
        int other = mRandom.nextInt(near.size() - 1);
        ChosenUpstream one = near.get(first);
        ChosenUpstream two = near.get(other < first ? other : other + 1);
        long difference = one.expectedNanos() - two.expectedNanos();
        if (Math.abs(difference) > equal) {
            return difference < 0 ? one : two;
        }
        boolean twoIsRecent = two.upstream().lastUsed() > one.upstream().lastUsed();
        boolean takeRecent = mRandom.nextInt(CHOICES_PER_EXCEPTION) > 0;
        return twoIsRecent == takeRecent ? two : one;
    }
}

package org.fuchsialever.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.model.InstanceId;

/** Selects peers in random order, each once before any is selected again. */
public final class PeerRotation {
    /** One of four messages goes to another region, so that gossip reaches all regions. */
    private static final int OTHER_REGIONS_DIVISOR = 4;

    private final String mRegion;
    private final RandomGenerator mRandom;
    private final Deque<InstanceId> mSameRegion = new ArrayDeque<>();
    private final Deque<InstanceId> mOtherRegions = new ArrayDeque<>();

    /** Creates a rotation that prefers a region. */
    public PeerRotation(String region, RandomGenerator random) {
        mRegion = region;
        mRandom = random;
    }

    /** Returns {@code log2(n)+1}, rounded up, where n includes this instance; 0 without peers. */
    public static int fanOut(int others) {
        return others == 0
                ? 0
                : Math.min(others, Integer.SIZE - Integer.numberOfLeadingZeros(others) + 1);
    }

    /** Returns the next {@link #fanOut} of the given members. */
    public List<InstanceId> next(Collection<Member> members) {
        int count = fanOut(members.size());
        Predicate<Member> isSameRegion = member -> member.region().equals(mRegion);
        Set<InstanceId> chosen = new LinkedHashSet<>();
        int outside = (count + OTHER_REGIONS_DIVISOR - 1) / OTHER_REGIONS_DIVISOR;
        select(mOtherRegions, members, isSameRegion.negate(), outside, chosen);
        select(mSameRegion, members, isSameRegion, count - chosen.size(), chosen);
        select(mOtherRegions, members, isSameRegion.negate(), count - chosen.size(), chosen);
        return List.copyOf(chosen);
    }

    private void select(
            Deque<InstanceId> order,
            Collection<Member> members,
            Predicate<Member> filter,
            int count,
            Set<InstanceId> chosen) {
        Set<InstanceId> candidates = new LinkedHashSet<>();
        members.stream().filter(filter).forEach(member -> candidates.add(member.instance()));
        int wanted = chosen.size() + Math.min(count, candidates.size());
        boolean refilled = false;
        while (chosen.size() < wanted) {
            InstanceId next = order.poll();
            if (next != null && candidates.contains(next)) {
                chosen.add(next);
            } else if (next == null && refilled) {
                return;
            } else if (next == null) {
                refilled = true;
                order.addAll(shuffled(candidates));
            }
        }
    }

    private List<InstanceId> shuffled(Collection<InstanceId> candidates) {
        List<InstanceId> result = new ArrayList<>(candidates);
        for (int i = result.size() - 1; i > 0; i--) {
            int other = mRandom.nextInt(i + 1);
            InstanceId swapped = result.get(i);
            result.set(i, result.get(other));
            result.set(other, swapped);
        }
        return result;
    }
}

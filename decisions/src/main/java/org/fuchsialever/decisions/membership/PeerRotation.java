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

/** Chooses peers in random order, each once before any is chosen again. */
public final class PeerRotation {
    /** One message of four leaves the region, so that news reach all regions. */
    private static final int OTHER_REGIONS_SHARE = 4;

    private final String region;
    private final RandomGenerator random;
    private final Deque<InstanceId> near = new ArrayDeque<>();
    private final Deque<InstanceId> far = new ArrayDeque<>();

    /** Creates a rotation that prefers a region. */
    public PeerRotation(String region, RandomGenerator random) {
        this.region = region;
        this.random = random;
    }

    /** Returns {@code log2(n)+1}, rounded up, where n counts this instance too. */
    public static int fanOut(int others) {
        return others == 0
                ? 0
                : Math.min(others, Integer.SIZE - Integer.numberOfLeadingZeros(others) + 1);
    }

    /** Returns the next {@link #fanOut} of the given members. */
    public List<InstanceId> next(Collection<Member> members) {
        int count = fanOut(members.size());
        Predicate<Member> isNear = member -> member.region().equals(region);
        Set<InstanceId> chosen = new LinkedHashSet<>();
        int outside = (count + OTHER_REGIONS_SHARE - 1) / OTHER_REGIONS_SHARE;
        draw(far, members, isNear.negate(), outside, chosen);
        draw(near, members, isNear, count - chosen.size(), chosen);
        draw(far, members, isNear.negate(), count - chosen.size(), chosen);
        return List.copyOf(chosen);
    }

    private void draw(
            Deque<InstanceId> order,
            Collection<Member> members,
            Predicate<Member> filter,
            int count,
            Set<InstanceId> chosen) {
        Set<InstanceId> present = new LinkedHashSet<>();
        members.stream().filter(filter).forEach(member -> present.add(member.instance()));
        int wanted = chosen.size() + Math.min(count, present.size());
        boolean refilled = false;
        while (chosen.size() < wanted) {
            InstanceId next = order.poll();
            if (next != null && present.contains(next)) {
                chosen.add(next);
            } else if (next == null && refilled) {
                return;
            } else if (next == null) {
                refilled = true;
                order.addAll(shuffled(present));
            }
        }
    }

    private List<InstanceId> shuffled(Collection<InstanceId> present) {
        List<InstanceId> result = new ArrayList<>(present);
        for (int i = result.size() - 1; i > 0; i--) {
            int other = random.nextInt(i + 1);
            InstanceId swapped = result.get(i);
            result.set(i, result.get(other));
            result.set(other, swapped);
        }
        return result;
    }
}

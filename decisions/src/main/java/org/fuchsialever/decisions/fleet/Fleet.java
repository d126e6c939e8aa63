package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** All upstreams that one instance knows, and the choice among them. Single writer. */
public final class Fleet {
    /** An upstream that has read the shared prompt is preferred over one this much less loaded. */
    private static final double AFFINITY_BONUS = 0.4;

    /** Cost of an upstream that keeps calls waiting, in loads per slot. */
    private static final double SLOWNESS_COST = 1.0;

    private final Map<String, UpstreamState> states = new HashMap<>();
    private final Map<String, List<UpstreamState>> byService = new HashMap<>();
    private final RandomGenerator random;

    /** Creates an empty fleet. */
    public Fleet(RandomGenerator random) {
        this.random = random;
    }

    /** Replaces the list of upstreams; what was observed of those that stay is kept. */
    public void update(Collection<FleetUpstream> listed) {
        Set<String> ids = new HashSet<>();
        for (FleetUpstream upstream : listed) {
            ids.add(upstream.id());
            UpstreamState state = states.get(upstream.id());
            if (state == null) {
                states.put(upstream.id(), new UpstreamState(upstream));
            } else {
                state.update(upstream);
            }
        }
        states.values().stream()
                .filter(state -> !ids.contains(state.spec().id()))
                .forEach(UpstreamState::markUnlisted);
        states.values().removeIf(UpstreamState::isRemovable);
        byService.clear();
        for (UpstreamState state : states.values()) {
            byService
                    .computeIfAbsent(state.spec().service(), service -> new ArrayList<>())
                    .add(state);
        }
    }

    /** Returns the upstreams of a service. */
    public List<UpstreamState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns an upstream by its name. */
    public Option<UpstreamState> byId(String id) {
        return Option.of(states.get(id));
    }

    /**
     * Returns the least loaded upstream that may get a call now; among equals the one that was used
     * last, because a connection to it is probably open.
     *
     * @param service the service
     * @param allowed further conditions
     * @param mostUtilization load per slot that must not be reached
     * @param loadStep loads per slot that differ by less than this count as equal; 0 for none
     * @param preferred name of an upstream that has read the prompt, empty if there is none
     * @param now monotonic time in nanoseconds
     */
    public Option<UpstreamState> choose(
            String service,
            Predicate<UpstreamState> allowed,
            double mostUtilization,
            double loadStep,
            String preferred,
            long now) {
        UpstreamState best = null;
        double bestCost = Double.MAX_VALUE;
        for (UpstreamState state : ofService(service)) {
            double utilization = state.utilization(now);
            if (!state.isAvailable(now) || utilization >= mostUtilization || !allowed.test(state)) {
                continue;
            }
            double cost = loadStep > 0 ? Math.floor(utilization / loadStep) : utilization;
            cost -= state.spec().id().equals(preferred) ? AFFINITY_BONUS : 0;
            cost += state.isSlow(now) ? SLOWNESS_COST : 0;
            boolean better =
                    best == null || cost < bestCost || cost == bestCost && isUsedLater(state, best);
            if (better) {
                best = state;
                bestCost = cost;
            }
        }
        return Option.of(best);
    }

    private boolean isUsedLater(UpstreamState state, UpstreamState other) {
        return state.lastUsed() == other.lastUsed()
                ? random.nextBoolean()
                : state.lastUsed() > other.lastUsed();
    }

    /** Returns an upstream that is in a pause after a failure, for calls without another choice. */
    public Option<UpstreamState> choosePaused(String service, Predicate<UpstreamState> allowed) {
        UpstreamState earliest = null;
        for (UpstreamState state : ofService(service)) {
            boolean earlier = earliest == null || state.pausedUntil() < earliest.pausedUntil();
            if (state.isServing() && allowed.test(state) && earlier) {
                earliest = state;
            }
        }
        return Option.of(earliest);
    }
}

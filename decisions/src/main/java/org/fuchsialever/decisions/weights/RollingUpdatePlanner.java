package org.fuchsialever.decisions.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.weights.EngineState.Phase;

/**
 * Chooses the engines that load next. A pure function. A wave has no barrier at its end: an engine
 * that is done makes room for the next one, so that a slow engine does not delay the others.
 */
public final class RollingUpdatePlanner {

    private RollingUpdatePlanner() {}

    /**
     * Returns the engines that may begin to load now, from all failure domains in turn.
     *
     * @param engines all engines of the model
     * @param limits the limits of the rollout
     * @param allowance loads that the weight store serves now
     */
    public static List<UpstreamId> nextEngines(
            Collection<EngineState> engines, RollingUpdateLimits limits, int allowance) {
        Map<FailureDomain, Domain> domains = new TreeMap<>();
        int outOfService = 0;
        int loading = 0;
        int current = 0;
        for (EngineState engine : engines) {
            domains.computeIfAbsent(engine.domain(), name -> new Domain()).add(engine);
            outOfService += engine.phase().isOutOfService() ? 1 : 0;
            loading += engine.phase() == Phase.LOADING ? 1 : 0;
            current += engine.phase() == Phase.CURRENT ? 1 : 0;
        }
        int room = Math.max(room(engines.size(), limits) - outOfService, loading == 0 ? 1 : 0);
        if (current < limits.canaryEngines()) {
            room = Math.min(room, limits.canaryEngines() - loading);
        }
        return inTurn(domains.values(), limits, Math.min(room, allowance));
    }

    private static List<UpstreamId> inTurn(
            Collection<Domain> domains, RollingUpdateLimits limits, int count) {
        List<Domain> order = new ArrayList<>(domains);
        order.sort(Comparator.comparingInt((Domain domain) -> domain.outdated.size()).reversed());
        List<UpstreamId> chosen = new ArrayList<>();
        boolean progress = true;
        while (progress && chosen.size() < count) {
            progress = false;
            for (Domain domain : order) {
                if (chosen.size() < count && domain.hasRoom(limits) && !domain.outdated.isEmpty()) {
                    chosen.add(domain.outdated.remove());
                    domain.outOfService++;
                    domain.loading++;
                    progress = true;
                }
            }
        }
        return chosen;
    }

    private static int room(int engines, RollingUpdateLimits limits) {
        return Math.max(1, (int) (engines * limits.maxUnavailableShare()));
    }

    private static final class Domain {
        private final Deque<UpstreamId> outdated = new ArrayDeque<>();
        private int size;
        private int outOfService;
        private int loading;

        /** Engines out of reach never keep the last one of a domain from loading. */
        boolean hasRoom(RollingUpdateLimits limits) {
            return loading == 0 || outOfService < room(size, limits);
        }

        void add(EngineState engine) {
            size++;
            outOfService += engine.phase().isOutOfService() ? 1 : 0;
            loading += engine.phase() == Phase.LOADING ? 1 : 0;
            if (engine.phase() == Phase.OUTDATED) {
                outdated.add(engine.id());
            }
        }
    }
}

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
 * Selects the engines that load next; stateless and without I/O. There are no fixed batches: an
 * engine that has finished makes room for the next one, so that a slow engine does not delay the
 * others.
 */
public final class RollingUpdatePlanner {

    private RollingUpdatePlanner() {}

    /**
     * Returns the engines that may start loading now, taken from the failure domains in round-robin
     * order.
     *
     * @param engines all engines of the model
     * @param limits the limits of the rolling update
     * @param allowance number of loads that the weight store can serve now
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
        int room =
                Math.max(
                        maxUnavailable(engines.size(), limits) - outOfService,
                        loading == 0 ? 1 : 0);
        if (current < limits.canaryEngines()) {
            room = Math.min(room, limits.canaryEngines() - loading);
        }
        return roundRobin(domains.values(), limits, Math.min(room, allowance));
    }

    private static List<UpstreamId> roundRobin(
            Collection<Domain> domains, RollingUpdateLimits limits, int count) {
        List<Domain> order = new ArrayList<>(domains);
        order.sort(Comparator.comparingInt((Domain domain) -> domain.mOutdated.size()).reversed());
        List<UpstreamId> chosen = new ArrayList<>();
        boolean progress = true;
        while (progress && chosen.size() < count) {
            progress = false;
            for (Domain domain : order) {
                if (chosen.size() < count
                        && domain.hasRoom(limits)
                        && !domain.mOutdated.isEmpty()) {
                    chosen.add(domain.mOutdated.remove());
                    domain.mOutOfService++;
                    domain.mLoading++;
                    progress = true;
                }
            }
        }
        return chosen;
    }

    private static int maxUnavailable(int engines, RollingUpdateLimits limits) {
        return Math.max(1, (int) (engines * limits.maxUnavailableShare()));
    }

    private static final class Domain {
        private final Deque<UpstreamId> mOutdated = new ArrayDeque<>();
        private int mSize;
        private int mOutOfService;
        private int mLoading;

        /**
         * Returns whether another engine of the domain may load. Unreachable engines never block
         * the first load of a domain.
         */
        boolean hasRoom(RollingUpdateLimits limits) {
            return mLoading == 0 || mOutOfService < maxUnavailable(mSize, limits);
        }

        void add(EngineState engine) {
            mSize++;
            mOutOfService += engine.phase().isOutOfService() ? 1 : 0;
            mLoading += engine.phase() == Phase.LOADING ? 1 : 0;
            if (engine.phase() == Phase.OUTDATED) {
                mOutdated.add(engine.id());
            }
        }
    }
}

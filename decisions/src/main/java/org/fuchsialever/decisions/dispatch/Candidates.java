package org.fuchsialever.decisions.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.jspecify.annotations.Nullable;

/** The upstreams of one pool among which a policy chooses. */
final class Candidates {
    /** At least this part of a pool stays in use, however many upstreams fail. */
    private static final double MAX_EJECTED = 0.5;

    private final Map<UpstreamId, UpstreamLoad> byId = new HashMap<>();
    private final PrefixCacheView cache = new PrefixCacheView();
    private final RandomGenerator random;
    private final FailureDomain ownDomain;
    private UpstreamLoad[] loads = new UpstreamLoad[0];
    private int nextInTurn;

    Candidates(RandomGenerator random, FailureDomain ownDomain) {
        this.random = random;
        this.ownDomain = ownDomain;
    }

    /** Takes the rows of the pool table; what is known of upstreams that stay is kept. */
    void update(List<UpstreamSpec> specs) {
        byId.values().forEach(UpstreamLoad::remove);
        List<UpstreamLoad> serving = new ArrayList<>();
        for (UpstreamSpec spec : specs) {
            UpstreamLoad load = byId.computeIfAbsent(spec.id(), id -> new UpstreamLoad(spec));
            load.update(spec);
            serving.add(load);
        }
        byId.values().removeIf(load -> load.inFlight() == 0 && !serving.contains(load));
        UpstreamLoad[] updated = serving.toArray(new UpstreamLoad[0]);
        if (!sameOrder(updated)) {
            cache.clear();
        }
        loads = updated;
    }

    @Nullable UpstreamLoad find(UpstreamId id) {
        return byId.get(id);
    }

    int size() {
        return loads.length;
    }

    UpstreamLoad at(int index) {
        return loads[index];
    }

    PrefixCacheView cache() {
        return cache;
    }

    RandomGenerator random() {
        return random;
    }

    FailureDomain ownDomain() {
        return ownDomain;
    }

    int advanceTurn() {
        nextInTurn = nextInTurn + 1 >= loads.length ? 0 : nextInTurn + 1;
        return nextInTurn;
    }

    int indexOf(UpstreamId id) {
        for (int i = 0; i < loads.length; i++) {
            if (loads[i].spec().id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether any upstream takes part in serving, even if it is ejected at the moment. */
    boolean anyServing() {
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the slots of all upstreams that are in use. */
    int totalSlots(long nowNanos) {
        int slots = 0;
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving() && !load.health().isEjected(nowNanos)) {
                slots += load.spec().slots();
            }
        }
        return slots;
    }

    /** Returns the slots that are probably free. */
    int freeSlots(long nowNanos) {
        int free = 0;
        for (UpstreamLoad load : loads) {
            if (!load.isLeaving() && !load.health().isEjected(nowNanos)) {
                free += Math.max(0, load.spec().slots() - load.estimatedBusy());
            }
        }
        return free;
    }

    void onFailure(UpstreamLoad load, long nowNanos) {
        if (load.health().onFailure() && mayEject(nowNanos)) {
            load.health().eject(nowNanos);
        }
    }

    private boolean mayEject(long nowNanos) {
        int ejected = 0;
        for (UpstreamLoad load : loads) {
            if (load.health().isEjected(nowNanos)) {
                ejected++;
            }
        }
        return ejected + 1 <= loads.length * MAX_EJECTED;
    }

    private boolean sameOrder(UpstreamLoad[] updated) {
        return java.util.Arrays.equals(loads, updated);
    }
}

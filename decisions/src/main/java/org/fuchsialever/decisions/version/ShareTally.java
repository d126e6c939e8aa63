package org.fuchsialever.decisions.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/**
 * The engines that each model has and those that it should have. Capacities are in engines of the
 * mean speed.
 */
final class ShareTally {
    /** One half of two engines keeps the previous version of a model. */
    private static final int FULL_MINIMUM = 2;

    private final ShareInputs mInputs;
    private final double mMeanSpeed;
    private final int mMinimum;
    private final Map<String, Double> mTargets;
    private final Map<String, Long> mNewest = new HashMap<>();
    private final Map<String, List<FleetUpstream>> mEngines = new TreeMap<>();
    private final Map<String, Double> mCapacities = new HashMap<>();
    private final Map<String, Map<String, Integer>> mDomainCounts = new HashMap<>();

    ShareTally(ShareInputs inputs) {
        mInputs = inputs;
        mMeanSpeed =
                inputs.engines().stream()
                        .mapToDouble(engine -> inputs.speeds().getOrDefault(engine.id(), 1.0))
                        .average()
                        .orElse(1);
        mMinimum =
                inputs.engines().size() >= FULL_MINIMUM * inputs.models().size() ? FULL_MINIMUM : 1;
        mTargets = targets(inputs, mMinimum);
        for (String model : inputs.models()) {
            mEngines.put(model, new ArrayList<>());
            mCapacities.put(model, 0.0);
            mDomainCounts.put(model, new HashMap<>());
            long newest = inputs.announced().getOrDefault(model, 0L);
            for (FleetUpstream engine : inputs.engines()) {
                newest = Math.max(newest, engine.versionOf(model));
            }
            mNewest.put(model, newest);
        }
    }

    /** Shares out the engines in proportion to demand, with a minimum for each model. */
    private static Map<String, Double> targets(ShareInputs inputs, int minimum) {
        Map<String, Double> targets = new HashMap<>();
        Set<String> open = new HashSet<>(inputs.models());
        double available = inputs.engines().size();
        boolean changed = true;
        while (changed) {
            changed = false;
            double demand = open.stream().mapToDouble(model -> demandOf(inputs, model)).sum();
            for (String model : open) {
                double part = demand > 0 ? demandOf(inputs, model) / demand : 1.0 / open.size();
                targets.put(model, available * part);
            }
            for (String model : inputs.models()) {
                boolean small = targets.getOrDefault(model, 0.0) < minimum;
                if (small && open.size() > 1 && open.remove(model)) {
                    targets.put(model, (double) minimum);
                    available -= minimum;
                    changed = true;
                }
            }
        }
        return targets;
    }

    private static double demandOf(ShareInputs inputs, String model) {
        return inputs.demand().isEmpty() ? 1 : inputs.demand().getOrDefault(model, 0.0);
    }

    Map<String, List<FleetUpstream>> engines() {
        return mEngines;
    }

    List<FleetUpstream> enginesOf(String model) {
        return mEngines.getOrDefault(model, List.of());
    }

    void place(FleetUpstream engine, String model) {
        mEngines.computeIfAbsent(model, name -> new ArrayList<>()).add(engine);
        mCapacities.merge(model, capacityOf(engine), Double::sum);
        mDomainCounts
                .computeIfAbsent(model, name -> new HashMap<>())
                .merge(engine.failureDomain(), 1, Integer::sum);
    }

    void remove(FleetUpstream engine, String model) {
        if (mEngines.getOrDefault(model, List.of()).remove(engine)) {
            mCapacities.merge(model, -capacityOf(engine), Double::sum);
            mDomainCounts
                    .getOrDefault(model, new HashMap<>())
                    .merge(engine.failureDomain(), -1, Integer::sum);
        }
    }

    double capacityOf(FleetUpstream engine) {
        return mInputs.speeds().getOrDefault(engine.id(), 1.0) / mMeanSpeed;
    }

    double meanCapacityWith(String model, FleetUpstream engine) {
        return (mCapacities.getOrDefault(model, 0.0) + capacityOf(engine))
                / (enginesOf(model).size() + 1);
    }

    double meanCapacityWithout(String model, FleetUpstream engine) {
        return (mCapacities.getOrDefault(model, 0.0) - capacityOf(engine))
                / Math.max(1, enginesOf(model).size() - 1);
    }

    /** Returns how much more capacity a model has than it should, negative if it has less. */
    double surplus(String model) {
        return mCapacities.getOrDefault(model, 0.0) - mTargets.getOrDefault(model, 0.0);
    }

    /** Returns by how many versions an engine is behind for a model. */
    long lag(FleetUpstream engine, String model) {
        return mNewest.getOrDefault(model, 0L) - engine.versionOf(model);
    }

    /** Returns the model that has the smallest part of its share. */
    String neediest(Collection<String> models) {
        return models.stream()
                .min(Comparator.comparingDouble(this::filled).thenComparing(name -> name))
                .orElseThrow();
    }

    private double filled(String model) {
        double ofCapacity =
                mCapacities.getOrDefault(model, 0.0) / mTargets.getOrDefault(model, 1.0);
        return Math.min(ofCapacity, (double) enginesOf(model).size() / mMinimum);
    }

    /** Returns whether a model keeps its minimum if it gives an engine away. */
    boolean mayGive(String model) {
        return enginesOf(model).size() > mMinimum;
    }

    /** Returns how many engines of a model are in the failure domain of an engine. */
    int neighbours(FleetUpstream engine, String model) {
        return mDomainCounts.getOrDefault(model, Map.of()).getOrDefault(engine.failureDomain(), 0);
    }
}

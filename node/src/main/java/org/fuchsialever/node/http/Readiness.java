package org.fuchsialever.node.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.BooleanSupplier;

/** Conditions that must all hold before the load balancer may send calls to this instance. */
public final class Readiness {
    private final Map<String, BooleanSupplier> mConditions = new ConcurrentSkipListMap<>();

    /** Adds a condition under a name that is shown to operators. */
    public void addCondition(String name, BooleanSupplier condition) {
        mConditions.put(name, condition);
    }

    /** Returns whether all conditions hold. */
    public boolean isReady() {
        return unmetConditions().isEmpty();
    }

    /** Returns the names of the conditions that do not hold. */
    public List<String> unmetConditions() {
        return mConditions.entrySet().stream()
                .filter(entry -> !entry.getValue().getAsBoolean())
                .map(Map.Entry::getKey)
                .toList();
    }
}

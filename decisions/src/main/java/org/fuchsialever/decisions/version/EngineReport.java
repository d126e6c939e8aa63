package org.fuchsialever.decisions.version;

import java.util.Map;
import java.util.Set;

/**
 * What an instance tells others about engines.
 *
 * @param reportingServices services whose upstreams report their slowdown
 * @param speedPercents speeds of engines that differ from the usual one, in percent of it
 */
public record EngineReport(Set<String> reportingServices, Map<String, Integer> speedPercents) {
    /** The report of an instance that has nothing to tell. */
    public static final EngineReport NONE = new EngineReport(Set.of(), Map.of());

    /** Copies the collections. */
    public EngineReport {
        reportingServices = Set.copyOf(reportingServices);
        speedPercents = Map.copyOf(speedPercents);
    }
}

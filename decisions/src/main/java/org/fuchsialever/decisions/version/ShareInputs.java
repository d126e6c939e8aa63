package org.fuchsialever.decisions.version;

import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/**
 * What the shares of a service are decided from.
 *
 * @param models the models of the service
 * @param demand the demand of each model in tokens per second; the shares are equal if it is empty
 * @param engines the engines that accept calls
 * @param speeds how many times as fast as usual engines are; those without an entry are as usual
 * @param announced the newest announced version of each model
 * @param maxLags by how many versions an engine may be behind for each model, 0 if absent
 */
public record ShareInputs(
        List<String> models,
        Map<String, Double> demand,
        List<FleetUpstream> engines,
        Map<String, Double> speeds,
        Map<String, Long> announced,
        Map<String, Long> maxLags) {

    /** Copies the collections. */
    public ShareInputs {
        models = List.copyOf(models);
        demand = Map.copyOf(demand);
        engines = List.copyOf(engines);
        speeds = Map.copyOf(speeds);
        announced = Map.copyOf(announced);
        maxLags = Map.copyOf(maxLags);
    }
}

package org.fuchsialever.decisions.version;

import org.fuchsialever.decisions.fleet.FleetUpstream;

/**
 * An order to load a weight version.
 *
 * @param upstream the receiver, as last reported
 * @param model the model whose weights to load
 * @param version the weight version to load
 */
public record VersionOrder(FleetUpstream upstream, String model, long version) {}

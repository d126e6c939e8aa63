package org.fuchsialever.decisions.version;

import org.fuchsialever.decisions.fleet.FleetUpstream;

/**
 * An upstream has to load a weight version.
 *
 * @param upstream the upstream
 * @param model the model
 * @param version the version
 */
public record VersionOrder(FleetUpstream upstream, String model, long version) {}

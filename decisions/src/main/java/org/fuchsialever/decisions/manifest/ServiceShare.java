package org.fuchsialever.decisions.manifest;

/**
 * A part of the traffic of a route.
 *
 * @param service the service that gets it
 * @param weight its weight relative to the other parts, above 0
 */
public record ServiceShare(String service, int weight) {}

package org.fuchsialever.decisions.manifest;

/**
 * A share of the traffic of a route.
 *
 * @param service name of the service that gets it
 * @param weight weight relative to the other shares, above 0
 */
public record ServiceShare(String service, int weight) {}

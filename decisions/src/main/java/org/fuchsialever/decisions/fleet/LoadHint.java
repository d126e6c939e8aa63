package org.fuchsialever.decisions.fleet;

/**
 * Load that an upstream reported with a response.
 *
 * @param running number of running calls
 * @param waiting number of queued calls
 * @param slots maximum number of calls that it runs at once
 */
public record LoadHint(int running, int waiting, int slots) {}

package org.fuchsialever.decisions.fleet;

/**
 * Load that an upstream told with an answer.
 *
 * @param running calls that it was running
 * @param waiting calls that waited there
 * @param slots how many it runs at once
 */
public record LoadHint(int running, int waiting, int slots) {}

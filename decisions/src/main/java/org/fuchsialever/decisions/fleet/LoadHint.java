package org.fuchsialever.decisions.fleet;

import io.vavr.control.Option;

/**
 * Load that an upstream reported with a response.
 *
 * @param running number of running calls
 * @param waiting number of queued calls
 * @param slots maximum number of calls that it runs at once
 * @param slowdown how many times as long work takes on its machine now, 1 for as usual; none if the
 *     upstream does not report it
 */
public record LoadHint(int running, int waiting, int slots, Option<Double> slowdown) {}

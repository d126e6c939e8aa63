package org.fuchsialever.decisions.claims;

import io.vavr.control.Option;

/**
 * A claim as it is stored.
 *
 * @param digest identifies the content of the request that claimed
 * @param deadlineMillis wall-clock time in milliseconds after which an unfinished request counts as
 *     lost
 * @param outcome the final answer in the form of the node, or none while the request runs
 */
public record Claim(String digest, long deadlineMillis, Option<String> outcome) {}

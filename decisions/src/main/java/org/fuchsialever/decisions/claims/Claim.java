package org.fuchsialever.decisions.claims;

import io.vavr.control.Option;

/**
 * Claim on the idempotency key of a request, as it is stored.
 *
 * @param digest digest of the content of the request that holds the claim
 * @param deadlineMillis wall-clock time in milliseconds after which an unfinished request counts as
 *     lost
 * @param outcome the final response as encoded by the node, or none while the request runs
 */
public record Claim(String digest, long deadlineMillis, Option<String> outcome) {}

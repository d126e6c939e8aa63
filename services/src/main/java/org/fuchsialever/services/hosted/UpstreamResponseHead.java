package org.fuchsialever.services.hosted;

import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;

/**
 * The head of an upstream's response.
 *
 * @param notRun whether the upstream reports that it did not execute the call
 * @param misdirected whether a different upstream than the expected one responded
 * @param signature the upstream's signature of the response, empty if there is none
 * @param load the load that the upstream reports
 * @param version the weight version at the start of the response, 0 if there is none
 * @param leaving whether the upstream announces that it is leaving
 */
public record UpstreamResponseHead(
        int status,
        boolean notRun,
        boolean misdirected,
        String signature,
        Option<LoadHint> load,
        long version,
        boolean leaving) {}

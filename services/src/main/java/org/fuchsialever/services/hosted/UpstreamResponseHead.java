package org.fuchsialever.services.hosted;

import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;

/**
 * What the head of an upstream's answer says.
 *
 * @param status HTTP status
 * @param notRun whether the upstream says that it did not run the call
 * @param misdirected whether another upstream than the expected one answered
 * @param signature the upstream's signature of the answer, empty if there is none
 * @param load the load that the upstream told
 * @param version the weight version that begins the answer, 0 if it names none
 */
public record UpstreamResponseHead(
        int status,
        boolean notRun,
        boolean misdirected,
        String signature,
        Option<LoadHint> load,
        long version) {}

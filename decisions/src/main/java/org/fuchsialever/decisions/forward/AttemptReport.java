package org.fuchsialever.decisions.forward;

import io.vavr.control.Option;
import org.fuchsialever.decisions.fleet.LoadHint;

/**
 * The result of an attempt.
 *
 * @param outcome how it ended
 * @param load the load that the upstream reported, if any
 * @param version the weight version that the response named, 0 if it named none
 */
public record AttemptReport(AttemptOutcome outcome, Option<LoadHint> load, long version) {

    /** Returns a report without load or version. */
    public static AttemptReport of(AttemptOutcome outcome) {
        return new AttemptReport(outcome, Option.none(), 0);
    }
}

package org.fuchsialever.decisions.claims;

import org.fuchsialever.decisions.dispatch.RefusalReason;

/** Next step of a {@link ClaimMachine}. */
public sealed interface ClaimAction {

    /** Write the claim on the condition that there is none; retries are the same commit. */
    record WriteClaim(Claim claim, String writer, int earlierWrites) implements ClaimAction {}

    /** Read the claim, because the outcome of the writes is unknown. */
    record ReadBack() implements ClaimAction {}

    /** Run the request; the claim is held at the given version of its row. */
    record Run(long version) implements ClaimAction {}

    /** Respond with the stored outcome. */
    record Replay(String outcome) implements ClaimAction {}

    /** Refuse the request. */
    record Refuse(RefusalReason reason) implements ClaimAction {}
}

package org.fuchsialever.decisions.claims;

import org.fuchsialever.decisions.dispatch.RefusalReason;

/** What is to be done next for a request with a claim. */
public sealed interface ClaimAction {

    /** Write the claim on the condition that there is none; a repeat is the same commit. */
    record WriteClaim(Claim claim, String writer, int earlierWrites) implements ClaimAction {}

    /** Read the claim, because the result of the last write stayed unknown. */
    record ReadBack() implements ClaimAction {}

    /** Run the request; the claim is held at the given version of its row. */
    record Run(long version) implements ClaimAction {}

    /** Answer with a stored outcome. */
    record Replay(String outcome) implements ClaimAction {}

    /** Refuse the request. */
    record Refuse(RefusalReason reason) implements ClaimAction {}
}

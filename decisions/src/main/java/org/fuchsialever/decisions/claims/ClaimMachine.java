package org.fuchsialever.decisions.claims;

import io.vavr.control.Option;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/**
 * Decides for one request whether it may run. It may run only after its claim is known to be
 * committed. As long as the result of the commit is unknown, the claim counts as not granted.
 */
public final class ClaimMachine {
    private static final int MAX_WRITES = 3;

    private final Claim claim;
    private final String writer;
    private int writes;
    private boolean mayHaveTakenEffect;

    /**
     * Creates a machine.
     *
     * @param claim the claim of this request, without an outcome
     * @param writer identity of the claiming commit, used by no other commit
     */
    public ClaimMachine(Claim claim, String writer) {
        this.claim = claim;
        this.writer = writer;
    }

    /** Begins by writing the claim without reading first, which costs one round trip. */
    public ClaimAction start() {
        return write();
    }

    /** The claim was committed. */
    public ClaimAction committed(long version) {
        return new ClaimAction.Run(version);
    }

    /**
     * The condition of the write did not hold.
     *
     * @param present the present claim, or none if it was removed meanwhile
     * @param nowMillis wall-clock time in milliseconds
     */
    public ClaimAction conflict(Option<ObservedClaim> present, long nowMillis) {
        return present.isDefined() ? judge(present.get(), nowMillis) : writeAgain();
    }

    /** The write failed; it may have taken effect, now or later, or it certainly did not. */
    public ClaimAction writeFailed(boolean effectUnknown) {
        mayHaveTakenEffect |= effectUnknown;
        return writeAgain();
    }

    /**
     * The claim was read back.
     *
     * @param present the present claim, or none
     * @param nowMillis wall-clock time in milliseconds
     */
    public ClaimAction readBack(Option<ObservedClaim> present, long nowMillis) {
        return present.isDefined() ? judge(present.get(), nowMillis) : unavailable();
    }

    /** The claim could not be read back. */
    public ClaimAction readFailed() {
        return unavailable();
    }

    private ClaimAction judge(ObservedClaim present, long nowMillis) {
        if (present.writer().equals(writer)) {
            return new ClaimAction.Run(present.version());
        }
        Claim other = present.claim();
        if (!other.digest().equals(claim.digest())) {
            return new ClaimAction.Refuse(RefusalReason.CLAIM_MISMATCH);
        }
        if (other.outcome().isDefined()) {
            return new ClaimAction.Replay(other.outcome().get());
        }
        return new ClaimAction.Refuse(
                nowMillis < other.deadlineMillis()
                        ? RefusalReason.CLAIM_IN_PROGRESS
                        : RefusalReason.ANSWER_LOST);
    }

    private ClaimAction writeAgain() {
        if (writes < MAX_WRITES) {
            return write();
        }
        return mayHaveTakenEffect ? new ClaimAction.ReadBack() : unavailable();
    }

    private ClaimAction write() {
        ClaimAction action = new ClaimAction.WriteClaim(claim, writer, writes);
        writes++;
        return action;
    }

    private static ClaimAction unavailable() {
        return new ClaimAction.Refuse(RefusalReason.CLAIM_UNAVAILABLE);
    }
}

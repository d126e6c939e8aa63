package org.fuchsialever.decisions.claims;

import io.vavr.control.Option;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/**
 * Decides whether one request may run. It may run only after its claim is known to be committed;
 * while the outcome of the commit is unknown, the claim counts as not granted.
 */
public final class ClaimMachine {
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final Claim mClaim;
    private final String mWriter;
    private int mWrites;
    private boolean mMayHaveTakenEffect;

    /**
     * Creates a machine.
     *
     * @param claim the claim of this request, without an outcome
     * @param writer unique ID of the commit of this claim
     */
    public ClaimMachine(Claim claim, String writer) {
        mClaim = claim;
        mWriter = writer;
    }

    /** Writes the claim without reading it first, which saves a round trip. */
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
     * @param current the current claim, or none if it has been removed since
     * @param nowMillis wall-clock time in milliseconds
     */
    public ClaimAction conflict(Option<ObservedClaim> current, long nowMillis) {
        return current.isDefined() ? evaluate(current.get(), nowMillis) : writeAgain();
    }

    /**
     * The write failed.
     *
     * @param effectUnknown whether it may take effect now or later, rather than certainly not
     */
    public ClaimAction writeFailed(boolean effectUnknown) {
        mMayHaveTakenEffect |= effectUnknown;
        return writeAgain();
    }

    /**
     * The claim was read back.
     *
     * @param current the current claim, or none
     * @param nowMillis wall-clock time in milliseconds
     */
    public ClaimAction readBack(Option<ObservedClaim> current, long nowMillis) {
        return current.isDefined() ? evaluate(current.get(), nowMillis) : unavailable();
    }

    /** The claim could not be read back. */
    public ClaimAction readFailed() {
        return unavailable();
    }

    private ClaimAction evaluate(ObservedClaim current, long nowMillis) {
        if (current.writer().equals(mWriter)) {
            return new ClaimAction.Run(current.version());
        }
        Claim other = current.claim();
        if (!other.digest().equals(mClaim.digest())) {
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
        if (mWrites < MAX_WRITE_ATTEMPTS) {
            return write();
        }
        return mMayHaveTakenEffect ? new ClaimAction.ReadBack() : unavailable();
    }

    private ClaimAction write() {
        ClaimAction action = new ClaimAction.WriteClaim(mClaim, mWriter, mWrites);
        mWrites++;
        return action;
    }

    private static ClaimAction unavailable() {
        return new ClaimAction.Refuse(RefusalReason.CLAIM_UNAVAILABLE);
    }
}

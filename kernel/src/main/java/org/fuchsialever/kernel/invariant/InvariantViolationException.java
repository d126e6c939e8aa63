package org.fuchsialever.kernel.invariant;

/** Thrown when an invariant does not hold. */
public final class InvariantViolationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Invariant mInvariant;

    /** Creates an exception for a violated invariant with a description of the violation. */
    public InvariantViolationException(Invariant invariant, String detail) {
        super(invariant.statement() + " " + detail);
        mInvariant = invariant;
    }

    /** Returns the violated invariant. */
    public Invariant invariant() {
        return mInvariant;
    }
}

package org.fuchsialever.kernel.invariant;

/** A property that must always hold was found violated. */
public final class InvariantViolationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Invariant invariant;

    /** Creates an exception for a violated property and a description of the case. */
    public InvariantViolationException(Invariant invariant, String detail) {
        super(invariant.statement() + " " + detail);
        this.invariant = invariant;
    }

    /** Returns the property. */
    public Invariant invariant() {
        return invariant;
    }
}

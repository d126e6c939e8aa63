package org.fuchsialever.frontend;

/** Ends a call or a started response with a refusal. */
public final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal mRefusal;

    /** Creates an exception without a stack trace, because refusals are frequent under overload. */
    public RefusedException(Refusal refusal) {
        super(refusal.reason().code(), null, false, false);
        mRefusal = refusal;
    }

    /** Returns the refusal to report to the caller. */
    public Refusal refusal() {
        return mRefusal;
    }
}

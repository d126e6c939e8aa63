package org.fuchsialever.services;

/** Thrown when a call to the platform fails. */
public final class PlatformException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Effect mEffect;

    /** Creates an exception without a cause. */
    public PlatformException(Effect effect, String message) {
        super(message);
        mEffect = effect;
    }

    /** Creates an exception with its cause. */
    public PlatformException(Effect effect, String message, Throwable cause) {
        super(message, cause);
        mEffect = effect;
    }

    /** Returns whether the requested change may have taken effect. */
    public Effect effect() {
        return mEffect;
    }

    /** What is known about a change whose call failed. */
    public enum Effect {
        /** The change did not take effect. */
        NONE,
        /** The change may have taken effect, now or later. */
        UNKNOWN
    }
}

package org.fuchsialever.kernel.log;

import java.lang.System.Logger.Level;

/** Logs messages with the name of one part of the system as their prefix. */
public final class PartLogger {
    private static final String ROOT = "org.fuchsialever.";

    private final System.Logger mLogger;
    private final String mPrefix;

    private PartLogger(String part) {
        mLogger = System.getLogger(ROOT + part);
        mPrefix = part + ": ";
    }

    /** Returns the logger of a part. */
    public static PartLogger of(String part) {
        return new PartLogger(part);
    }

    /** Logs details for debugging. */
    public void debug(String message) {
        mLogger.log(Level.DEBUG, mPrefix + message);
    }

    /** Logs a normal event. */
    public void info(String message) {
        mLogger.log(Level.INFO, mPrefix + message);
    }

    /** Logs a problem that needs no operator. */
    public void warning(String message) {
        mLogger.log(Level.WARNING, mPrefix + message);
    }

    /** Logs a problem that needs no operator, with its cause. */
    public void warning(String message, Throwable cause) {
        mLogger.log(Level.WARNING, mPrefix + message, cause);
    }

    /** Logs a problem that needs an operator, with its cause. */
    public void error(String message, Throwable cause) {
        mLogger.log(Level.ERROR, mPrefix + message, cause);
    }
}

package org.fuchsialever.kernel.log;

import java.lang.System.Logger.Level;

/** Logs messages with the name of one part of the system as their prefix. */
public final class PartLogger {
    private static final String ROOT = "org.fuchsialever.";

    private final System.Logger logger;
    private final String prefix;

    private PartLogger(String part) {
        this.logger = System.getLogger(ROOT + part);
        this.prefix = part + ": ";
    }

    /** Returns the logger of a part. */
    public static PartLogger of(String part) {
        return new PartLogger(part);
    }

    /** Logs details for debugging. */
    public void debug(String message) {
        logger.log(Level.DEBUG, prefix + message);
    }

    /** Logs a normal event. */
    public void info(String message) {
        logger.log(Level.INFO, prefix + message);
    }

    /** Logs a problem that needs no operator. */
    public void warning(String message) {
        logger.log(Level.WARNING, prefix + message);
    }

    /** Logs a problem that needs no operator, with its cause. */
    public void warning(String message, Throwable cause) {
        logger.log(Level.WARNING, prefix + message, cause);
    }

    /** Logs a problem that needs an operator, with its cause. */
    public void error(String message, Throwable cause) {
        logger.log(Level.ERROR, prefix + message, cause);
    }
}

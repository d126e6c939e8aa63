package org.fuchsialever.kernel.log;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Limits the log output of libraries, which write several lines for each connection that a peer
 * resets. The code that uses the connection counts and logs the failure itself.
 */
public final class LibraryLogs {
    private static final List<String> NAMES = List.of("reactor", "io.netty");

    /** Strong references, because the log manager holds loggers only weakly. */
    private static final List<Logger> LOGGERS = NAMES.stream().map(Logger::getLogger).toList();

    private LibraryLogs() {}

    /** Sets the log level of the libraries to errors only. */
    public static void limitToErrors() {
        LOGGERS.forEach(logger -> logger.setLevel(Level.SEVERE));
    }
}

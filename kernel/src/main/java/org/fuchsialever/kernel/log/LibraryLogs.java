package org.fuchsialever.kernel.log;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Limits what libraries log. They write several lines for each connection that a peer resets; the
 * code that uses the connection counts and logs the failure itself.
 */
public final class LibraryLogs {
    private static final List<String> NAMES = List.of("reactor", "io.netty");

    /** Kept, because the log system forgets loggers that nobody holds. */
    private static final List<Logger> LOGGERS = NAMES.stream().map(Logger::getLogger).toList();

    private LibraryLogs() {}

    /** Lets libraries log errors only. */
    public static void limitToErrors() {
        LOGGERS.forEach(logger -> logger.setLevel(Level.SEVERE));
    }
}

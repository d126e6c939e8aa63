package org.fuchsialever.kernel.duty;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;
import org.fuchsialever.kernel.log.PartLogger;

/**
 * Ends the process when the thread of a duty ends by an error. The platform starts it again, while
 * a process that goes on without one of its duties stays useless.
 */
public final class ProcessEnd implements Thread.UncaughtExceptionHandler {
    /** Exit status of a process that has lost a duty. */
    public static final int EXIT_DUTY_LOST = 3;

    /** Ends this process. Shutdown hooks are not run, because they may need the lost duty. */
    public static final ProcessEnd HALT =
            new ProcessEnd(System.err, status -> Runtime.getRuntime().halt(status));

    private static final PartLogger LOG = PartLogger.of("node");

    /** Encoded in advance, because an error may leave no memory for it. */
    private static final byte[] BARE_LINE =
            "node: Thread of a duty has ended; the process ends with status 3.\n"
                    .getBytes(StandardCharsets.UTF_8);

    private final PrintStream mErrors;
    private final IntConsumer mHalt;

    ProcessEnd(PrintStream errors, IntConsumer halt) {
        mErrors = errors;
        mHalt = halt;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        try {
            mErrors.write(BARE_LINE, 0, BARE_LINE.length);
            mErrors.flush();
            LOG.error("Thread " + thread.getName() + " has ended.", cause);
        } finally {
            mHalt.accept(EXIT_DUTY_LOST);
        }
    }
}

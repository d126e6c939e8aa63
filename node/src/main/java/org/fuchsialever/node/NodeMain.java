package org.fuchsialever.node;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.StopRequest;
import org.fuchsialever.kernel.log.LibraryLogs;
import org.fuchsialever.node.trace.TraceLog;
import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/** Entry point of the command {@code fuchsialever-node}. */
public final class NodeMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--settings", description = "Settings file (INI)", required = true)
    private String mSettings = "";

    @Parameter(
            names = "--stop-after",
            description = "Stop after this many milliseconds, to try a start; 0 runs on")
    private long mStopAfterMillis;

    @Parameter(names = "--help", help = true, description = "Show the options")
    private boolean mHelp;

    private final StopRequest mStop = new StopRequest();
    private @Nullable NodeProcess mProcess;

    private NodeMain() {}

    /**
     * Runs an instance until the process is told to stop. Exits with 0 after a graceful shutdown, 1
     * after a failure and 2 if options or settings cannot be used.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) throws InterruptedException {
        NodeMain main = new NodeMain();
        JCommander parser =
                JCommander.newBuilder().programName("fuchsialever-node").addObject(main).build();
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (main.mHelp) {
            parser.usage();
            System.exit(EXIT_OK);
        }
        System.exit(main.run());
    }

    private int run() throws InterruptedException {
        LibraryLogs.limitToErrors();
        String text;
        try {
            text = Files.readString(Path.of(mSettings));
        } catch (IOException e) {
            System.err.println(mSettings + ": cannot be read: " + e);
            return EXIT_USAGE;
        }
        // The default action of this signal would end the process.
        SettingsReload reload =
                new SettingsReload(
                        mSettings, text, changed -> NodeProcess.check(mSettings, changed));
        Signal.handle(new Signal("HUP"), signal -> reload.reload());
        // Registered before the start, so that a signal during the start is not missed.
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "shutdown"));
        synchronized (this) {
            Either<Findings, NodeProcess> started = NodeProcess.start(mSettings, text, mStop);
            if (started.isLeft()) {
                System.err.println(started.getLeft().report());
                return EXIT_USAGE;
            }
            mProcess = started.get();
            reload.logTo(mProcess.find(TraceLog.class));
        }
        if (mStopAfterMillis > 0) {
            boolean never = new CountDownLatch(1).await(mStopAfterMillis, TimeUnit.MILLISECONDS);
            return never ? EXIT_FAILURE : EXIT_OK;
        }
        // The hook ends the process.
        new CountDownLatch(1).await();
        return EXIT_FAILURE;
    }

    private void stop() {
        // The time until the process is killed runs from the signal, also while it starts.
        mStop.stop(System.nanoTime());
        shutDown();
    }

    /**
     * Closes the instance, once it has started, and ends the process. A process that is told to
     * stop by SIGTERM would otherwise exit with 143, whatever the hook does.
     */
    private synchronized void shutDown() {
        NodeProcess running = mProcess;
        if (running == null) {
            return;
        }
        int status = EXIT_FAILURE;
        try {
            running.close();
            status = EXIT_OK;
        } finally {
            Runtime.getRuntime().halt(status);
        }
    }
}

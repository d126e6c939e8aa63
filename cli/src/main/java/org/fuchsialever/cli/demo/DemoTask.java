package org.fuchsialever.cli.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.command.JsonTask;

/** One run of the command {@code demo}. */
@Parameters(
        commandDescription =
                "Run three instances with stand-ins, traffic and rollouts, and check what must"
                        + " always hold")
final class DemoTask extends JsonTask {
    private static final int MIN_SECONDS = 2;
    private static final int MAX_SECONDS = 30;
    private static final Logger LOGGERS = Logger.getLogger("org.fuchsialever");

    @Parameter(names = "--seconds", description = "Length of the traffic (s), 2 to 30")
    private int mSeconds = 20;

    @Override
    public ExitCode run(CommandContext context) throws Exception {
        if (mSeconds < MIN_SECONDS || mSeconds > MAX_SECONDS) {
            throw new ParameterException(
                    "--seconds must be from " + MIN_SECONDS + " to " + MAX_SECONDS);
        }
        // Only problems are of interest next to the progress.
        LOGGERS.setLevel(Level.WARNING);
        PrintStream progress = isJsonRequested() ? context.err() : context.out();
        DemoReport report = run(context.stop(), isJsonRequested() ? line -> {} : progress::println);
        if (isJsonRequested()) {
            context.out().println(report.json());
        } else {
            report.print(context.out());
        }
        report.faults().forEach(fault -> context.err().println("Fault: " + fault));
        return report.faults().isEmpty() ? ExitCode.OK : ExitCode.FAILURE;
    }

    private DemoReport run(CountDownLatch stop, java.util.function.Consumer<String> progress)
            throws Exception {
        try (DemoDeployment deployment = new DemoDeployment(stop)) {
            progress.accept("Starting stand-ins and three instances.");
            deployment.start();
            return new DemoRun(deployment, mSeconds, stop, progress).run();
        }
    }
}

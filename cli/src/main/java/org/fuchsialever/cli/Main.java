package org.fuchsialever.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.command.Command;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.CommandTask;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.plugin.PluginRegistry;
import org.jspecify.annotations.Nullable;

/** Entry point of the program {@code fuchsialever}. */
public final class Main {
    private static final String PROGRAM = "fuchsialever";

    private final Map<String, Command> mCommands = new LinkedHashMap<>();
    private final Map<String, CommandTask> mTasks = new LinkedHashMap<>();
    private final GlobalOptions mOptions = new GlobalOptions();
    private final JCommander mParser =
            JCommander.newBuilder().programName(PROGRAM).addObject(mOptions).build();
    private final CommandContext mContext;

    private Main(CommandContext context) {
        mContext = context;
    }

    /**
     * Runs one command and exits with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        CountDownLatch stop = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stopAndAwaitEnd(stop, ended), "shutdown"));
        ExitCode exit = run(arguments, new CommandContext(System.out, System.err, stop));
        ended.countDown();
        System.exit(exit.code());
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line
     * @param context output streams and stop signal
     * @return the exit code
     */
    public static ExitCode run(String[] arguments, CommandContext context) {
        Findings findings = new Findings();
        PluginRegistry registry = PluginRegistry.discover(findings);
        if (findings.hasErrors()) {
            context.err().println(findings.report());
            return ExitCode.FAILURE;
        }
        Main main = new Main(context);
        registry.all(Command.class).forEach(main::add);
        return main.parseAndRun(arguments);
    }

    private void add(Command command) {
        CommandTask task = command.newTask();
        mCommands.put(command.pluginName(), command);
        mTasks.put(command.pluginName(), task);
        mParser.addCommand(command.pluginName(), task);
    }

    private ExitCode parseAndRun(String[] arguments) {
        try {
            mParser.parse(arguments);
        } catch (ParameterException e) {
            mContext.err().println(e.getMessage());
            return ExitCode.USAGE;
        }
        String name = mParser.getParsedCommand();
        if (name == null) {
            return showCommands();
        }
        Command command = mCommands.get(name);
        CommandTask task = mTasks.get(name);
        if (command == null || task == null) {
            return ExitCode.USAGE;
        }
        if (task.isHelpRequested()) {
            showHelp(command);
            return ExitCode.OK;
        }
        return run(task);
    }

    private ExitCode run(CommandTask task) {
        try {
            return task.run(mContext);
        } catch (ParameterException e) {
            mContext.err().println(e.getMessage());
            return ExitCode.USAGE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILURE;
        } catch (Exception e) {
            mContext.err().println("The command failed: " + message(e));
            return ExitCode.FAILURE;
        }
    }

    private ExitCode showCommands() {
        StringBuilder text = new StringBuilder();
        mParser.getUsageFormatter().usage(text);
        if (mOptions.mHelp) {
            mContext.out().print(text);
            return ExitCode.OK;
        }
        mContext.err().print(text);
        return ExitCode.USAGE;
    }

    private void showHelp(Command command) {
        StringBuilder text = new StringBuilder();
        mParser.getUsageFormatter().usage(command.pluginName(), text);
        text.append("\n  Exit codes:\n");
        for (ExitCode code : command.exitCodes()) {
            text.append("    %d  %s%n".formatted(code.code(), code.meaning()));
        }
        mContext.out().print(text);
    }

    private static @Nullable String message(Exception failure) {
        return failure.getMessage() == null ? failure.toString() : failure.getMessage();
    }

    /** Signals the command to stop, and waits until it has closed its resources. */
    private static void stopAndAwaitEnd(CountDownLatch stop, CountDownLatch ended) {
        stop.countDown();
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class GlobalOptions {
        @Parameter(names = "--help", help = true, description = "Show the commands")
        private boolean mHelp;
    }
}

package org.fuchsialever.cli.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.cli.Main;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;

/** Runs the commands of an operator in this process. */
final class OperatorConsole {
    private final Path mSettings;
    private final CountDownLatch mStop;

    /**
     * Creates a console.
     *
     * @param settings a file with section {@code [platform]}
     * @param stop reaches zero when the process is told to stop
     */
    OperatorConsole(Path settings, CountDownLatch stop) {
        mSettings = settings;
        mStop = stop;
    }

    /**
     * Runs a command and returns its output.
     *
     * @throws IllegalStateException if its exit code is not 0
     */
    String run(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(List.of("--settings", mSettings.toString()));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode exit =
                Main.run(
                        arguments.toArray(String[]::new),
                        new CommandContext(stream(out), stream(err), mStop));
        if (exit != ExitCode.OK) {
            throw new IllegalStateException(
                    "fuchsialever %s exited with %d: %s"
                            .formatted(words[0], exit.code(), text(err)));
        }
        return text(out);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8).strip();
    }
}

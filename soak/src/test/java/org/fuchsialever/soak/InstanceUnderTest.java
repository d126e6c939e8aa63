package org.fuchsialever.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.fuchsialever.node.NodeMain;

/** The process of an instance with bounded memory, and what the system knows of it. */
final class InstanceUnderTest implements AutoCloseable {
    private final Path mLog;
    private final Process mProcess;

    /**
     * Starts a process.
     *
     * @param log the file for its output
     * @param settings the file with its settings
     * @param launcher a command that gets the command of the instance as its arguments, or nothing
     * @param options options of the virtual machine, of which later ones replace earlier ones
     */
    InstanceUnderTest(Path log, Path settings, List<String> launcher, List<String> options)
            throws IOException {
        mLog = log;
        List<String> command = new ArrayList<>(launcher);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        NodeMain.class.getName(),
                        "--settings",
                        settings.toString()));
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(mLog.toFile())
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly, "end-process"));
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the largest resident memory that the process has had. */
    long peakResidentBytes() throws IOException {
        String line =
                Files.readAllLines(processFile("status")).stream()
                        .filter(one -> one.startsWith("VmHWM:"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1_024;
    }

    /** Returns the number of open descriptors of the process. */
    long openDescriptors() throws IOException {
        try (Stream<Path> files = Files.list(processFile("fd"))) {
            return files.count();
        }
    }

    private Path processFile(String name) {
        return Path.of("/proc", Long.toString(mProcess.pid()), name);
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
        mProcess.onExit().join();
    }
}

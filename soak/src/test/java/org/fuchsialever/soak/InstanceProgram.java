package org.fuchsialever.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.node.NodeMain;
import org.fuchsialever.platform.FreePorts;
import org.fuchsialever.platform.InstanceSettings;

/**
 * An instance: its process, its settings and the links that lead to it and from it to the store.
 */
final class InstanceProgram implements AutoCloseable {
    /** Options of the deploy file that bound memory; a soak runs several processes at once. */
    private static final List<String> OPTIONS =
            List.of(
                    "-Xmx96m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:MaxDirectMemorySize=48m");

    private final String name;
    private final Path directory;
    private final int port;
    private final LoopbackProxy storeLink;
    private final LoopbackProxy entryLink;
    private Process process;
    private int starts;
    private boolean paused;
    private boolean closed;
    private int pauses;

    InstanceProgram(String name, int storePort, Path directory, EventLoopGroup group)
            throws IOException {
        this.name = name;
        this.directory = directory;
        this.port = FreePorts.next();
        this.storeLink = new LoopbackProxy(group, storePort);
        this.entryLink = new LoopbackProxy(group, port);
        Files.writeString(settings(), InstanceSettings.of(name, storeLink.address(), port));
        this.process = launch();
        // A soak that is interrupted leaves no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "end-" + name));
    }

    String name() {
        return name;
    }

    LoopbackProxy storeLink() {
        return storeLink;
    }

    LoopbackProxy entryLink() {
        return entryLink;
    }

    synchronized boolean isRunning() {
        return process.isAlive() && !paused;
    }

    /** Starts the process again if it has ended. */
    synchronized void startAgain() {
        if (!closed && !process.isAlive()) {
            process = launch();
        }
    }

    synchronized void kill() {
        pauses++;
        paused = false;
        process.destroyForcibly();
    }

    /** Tells the process to stop, records how long that takes and starts it again. */
    synchronized void terminate(SoakRecord record) {
        Process ending = process;
        int pausesBefore = pauses;
        long begin = System.nanoTime();
        boolean running = isRunning();
        ending.destroy();
        record.terminated(name, begin);
        ending.onExit()
                .thenAccept(
                        ended -> {
                            boolean calm = running && pausesBefore == pauses();
                            record.ended(name, System.nanoTime() - begin, calm);
                            startAgain();
                        });
    }

    private synchronized int pauses() {
        return pauses;
    }

    synchronized void pause() throws IOException {
        pauses++;
        paused = true;
        signal("STOP");
    }

    synchronized void resume() throws IOException {
        paused = false;
        signal("CONT");
    }

    synchronized void reload() throws IOException {
        signal("HUP");
    }

    /** Signals the present process only; its identity is not used again before it is reaped. */
    private void signal(String signal) throws IOException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
        }
    }

    private Process launch() {
        starts++;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        NodeMain.class.getName(),
                        "--settings",
                        settings().toString()));
        try {
            return new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(directory.resolve(name + "-" + starts + ".log").toFile())
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(name + " cannot be started", e);
        }
    }

    private Path settings() {
        return directory.resolve(name + ".ini");
    }

    @Override
    public void close() {
        Process last;
        synchronized (this) {
            closed = true;
            kill();
            last = process;
        }
        last.onExit().join();
        entryLink.close();
        storeLink.close();
    }
}

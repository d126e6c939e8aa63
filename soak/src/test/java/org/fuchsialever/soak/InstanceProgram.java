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

    private final String mName;
    private final Path mDirectory;
    private final int mPort;
    private final LoopbackProxy mStoreLink;
    private final LoopbackProxy mEntryLink;
    private Process mProcess;
    private int mStarts;
    private boolean mPaused;
    private boolean mClosed;
    private int mPauses;

    InstanceProgram(String name, int storePort, Path directory, EventLoopGroup group)
            throws IOException {
        mName = name;
        mDirectory = directory;
        mPort = FreePorts.next();
        mStoreLink = new LoopbackProxy(group, storePort);
        mEntryLink = new LoopbackProxy(group, mPort);
        Files.writeString(settings(), InstanceSettings.of(name, mStoreLink.address(), mPort));
        mProcess = launch();
        // A soak that is interrupted leaves no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "end-" + name));
    }

    String name() {
        return mName;
    }

    LoopbackProxy storeLink() {
        return mStoreLink;
    }

    LoopbackProxy entryLink() {
        return mEntryLink;
    }

    synchronized boolean isRunning() {
        return mProcess.isAlive() && !mPaused;
    }

    /** Starts the process again if it has ended. */
    synchronized void startAgain() {
        if (!mClosed && !mProcess.isAlive()) {
            mProcess = launch();
        }
    }

    synchronized void kill() {
        mPauses++;
        mPaused = false;
        mProcess.destroyForcibly();
    }

    /** Tells the process to stop, records how long that takes and starts it again. */
    synchronized void terminate(SoakRecord record) {
        Process ending = mProcess;
        int pausesBefore = mPauses;
        long begin = System.nanoTime();
        boolean running = isRunning();
        ending.destroy();
        record.terminated(mName, begin);
        ending.onExit()
                .thenAccept(
                        ended -> {
                            boolean calm = running && pausesBefore == pauses();
                            record.ended(mName, System.nanoTime() - begin, calm);
                            startAgain();
                        });
    }

    private synchronized int pauses() {
        return mPauses;
    }

    synchronized void pause() throws IOException {
        mPauses++;
        mPaused = true;
        signal("STOP");
    }

    synchronized void resume() throws IOException {
        mPaused = false;
        signal("CONT");
    }

    synchronized void reload() throws IOException {
        signal("HUP");
    }

    /** Signals the present process only; its identity is not used again before it is reaped. */
    private void signal(String signal) throws IOException {
        if (mProcess.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start();
        }
    }

    private Process launch() {
        mStarts++;
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
                    .redirectOutput(mDirectory.resolve(mName + "-" + mStarts + ".log").toFile())
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(mName + " cannot be started", e);
        }
    }

    private Path settings() {
        return mDirectory.resolve(mName + ".ini");
    }

    @Override
    public void close() {
        Process last;
        synchronized (this) {
            mClosed = true;
            kill();
            last = mProcess;
        }
        last.onExit().join();
        mEntryLink.close();
        mStoreLink.close();
    }
}

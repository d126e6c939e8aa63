package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An instance of the project, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
    final String name;
    final int front;
    final int ready;
    private final Path mSettings;
    private final Path mLog;
    private final Path mRoot;
    private Process mProcess;

    /** Writes the settings file from the project's template, with the fields of a small site. */
    Instance(Path root, Path folder, String name, String store) throws IOException {
        this.name = name;
        mRoot = root;
        front = freePort();
        ready = freePort();
        int metrics = freePort();
        mSettings = folder.resolve(name + ".ini");
        mLog = folder.resolve(name + ".log");
        Map<String, String> fields =
                Map.ofEntries(
                        Map.entry("node", name),
                        Map.entry("region", "r"),
                        Map.entry("zone", "z"),
                        Map.entry("platform.address", store),
                        Map.entry("cloud.address", store),
                        Map.entry("ip", "127.0.0.1"),
                        Map.entry("listen.front", "127.0.0.1:" + front),
                        Map.entry("listen.ready", "127.0.0.1:" + ready),
                        Map.entry("portRange.0", Integer.toString(metrics)),
                        Map.entry("bounds.statusTtlS", "120"),
                        Map.entry("bounds.reportWindowS", "5"),
                        Map.entry("bounds.leaseMs", "3000"),
                        Map.entry("limits.cpuShare", "0.75"),
                        Map.entry("limits.cores", "2"));
        String text = Files.readString(root.resolve("platform/deploy/node.ini"));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has fields that this script doesn't know");
        }
        Files.writeString(mSettings, text);
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket socket =
                new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        String run = "";
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.replaceAll(w -> w.startsWith("/etc/") ? mSettings.toString() : w);
        ProcessBuilder builder = new ProcessBuilder(command).directory(mRoot.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady()) {
            if (!mProcess.isAlive() || System.nanoTime() > end) {
                throw new IOException(name + " did not become ready, see " + mLog);
            }
            Thread.sleep(50);
        }
    }

    boolean isReady() {
        return Client.once(ready, 1_000, "GET", "/api/readyz", Map.of("Host", "ready"), new byte[0])
                        .status()
                == 200;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    long pid() {
        return mProcess.pid();
    }

    /** SIGTERM. */
    void term() {
        mProcess.destroy();
    }

    /** SIGKILL. */
    void kill() {
        mProcess.destroyForcibly();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    }

    boolean waitForEnd(long millis) throws InterruptedException {
        return mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }
}

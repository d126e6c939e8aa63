import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: instances of the deploy file beside stand-ins. */
final class Site implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String TEAM = "huka270";
    static final String ROLL = "/pule252/";
    static final String SCORE = "/pufi791/";
    static final String LOOKUP = "/lohu930/";

    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final Path DEPLOY = Path.of("deploy", "system.toml");

    /** Ports that were given to instances; a process binds its own only after it has started. */
    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    final Record record;
    final Store store;
    final List<Worker> workers = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    /** Prefix of a route for submissions that a later manifest adds; empty for none. */
    String addedRoute = "";

    /** The bound graceS of the settings. */
    String graceSeconds = "8";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;

    /** One machine with one process of the system. */
    final class Instance {
        final String name;
        final int port = freePort();
        final int readyPort = freePort();
        final Link link;
        private final int metricsPort = freePort();
        Process process;

        Instance(String name) throws IOException {
            this.name = name;
            link = new Link(store.open(name));
        }

        void start() throws IOException {
            Map<String, String> fields = fields();
            String deploy = Files.readString(DEPLOY);
            Path settings = writeSettings();
            List<String> command = new ArrayList<>();
            for (String word : value(deploy, "run").split(" ")) {
                command.add(word.equals("/etc/fuchsialever/boot.conf") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            Matcher variable = Pattern.compile("([A-Z_]+) = \"([^\"]*)\"").matcher(environment(deploy));
            while (variable.find()) {
                builder.environment().put(variable.group(1), fill(variable.group(2), fields));
            }
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line("%s starts, pid %d", name, process.pid());
        }

        /** Fills the template of the settings file, as the platform does at each change. */
        Path writeSettings() throws IOException {
            Path settings = folder.resolve(name + ".ini");
            String template = Files.readString(Path.of("platform/deploy/node.ini"));
            return Files.writeString(settings, fill(template, fields()));
        }

        private Map<String, String> fields() {
            Map<String, String> fields = new HashMap<>();
            fields.put("node", name);
            fields.put("region", "ro-centru");
            fields.put("zone", "z1");
            fields.put("platform.address", link.address());
            fields.put("cloud.address", link.address());
            fields.put("ip", "127.0.0.1");
            fields.put("listen.front", "127.0.0.1:" + port);
            fields.put("listen.ready", "127.0.0.1:" + readyPort);
            fields.put("portRange.0", Integer.toString(metricsPort));
            fields.put("limits.maxFds", "8200");
            fields.put("limits.cpuShare", "0.75");
            fields.put("limits.cores", "2");
            fields.put("bounds.statusTtlS", "120");
            fields.put("bounds.reportWindowS", "5");
            fields.put("bounds.leaseMs", "3000");
            fields.put("bounds.drainMs", "2000");
            fields.put("bounds.graceS", graceSeconds);
            return fields;
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.line("%s gets SIG%s", name, signal);
            String command = "kill -" + signal + " " + process.pid();
            new ProcessBuilder("bash", "-c", command).start().waitFor();
        }

        boolean isReady() {
            return Caller.call(readyPort, "GET", "/api/readyz", Map.of("Host", "x"), null, 1_000)
                            .status()
                    == 200;
        }
    }

    Site(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review-2-");
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endInstances));
    }

    private void endInstances() {
        for (Instance instance : instances) {
            if (instance.process != null) {
                instance.process.destroyForcibly();
            }
        }
    }

    Instance instance(String name) throws IOException {
        Instance added = new Instance(name);
        instances.add(added);
        return added;
    }

    void startAll() throws IOException {
        for (Instance instance : instances) {
            instance.start();
        }
    }

    /** Waits until all instances are ready; fails after 40 s. */
    void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 40_000_000_000L;
        for (Instance instance : instances) {
            while (!instance.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(
                            instance.name
                                    + (instance.process.isAlive()
                                            ? " is not ready"
                                            : " has ended with " + instance.process.exitValue()));
                }
                Thread.sleep(100);
            }
        }
        record.line("all instances are ready");
    }

    Worker worker(
            String id, String service, int slots, Map<String, Long> models, Worker.Texts texts, boolean quiet)
            throws IOException {
        Worker added = new Worker(id, service, slots, models, texts, record, store, quiet);
        workers.add(added);
        return added;
    }

    /** Adds three instances, six engines with one model and two plain workers. */
    void smallDeployment(Worker.Text text) throws IOException {
        smallDeployment(Map.of("m0", 1L), text);
    }

    /** Adds the same machines; the engines have the given models. */
    void smallDeployment(Map<String, Long> models, Worker.Text text) throws IOException {
        for (int i = 0; i < 3; i++) {
            instance("edge-" + i);
        }
        for (int i = 0; i < 6; i++) {
            worker("i-model" + i, "model-farm", 8, models, id -> text, false);
        }
        for (int i = 0; i < 2; i++) {
            worker("i-desk" + i, "order-desk", 6, Map.of(), null, true);
        }
    }

    /** Writes a manifest; the operator's ack is the return of this method. */
    void manifest(long version, int timeoutMillis, int maxWaitSeconds, String... models) {
        ObjectNode manifest = MAPPER.createObjectNode().put("version", version);
        ArrayNode routes = manifest.putArray("routes");
        route(routes, "lookup", LOOKUP, "safe", "order-desk", timeoutMillis, 2);
        route(routes, "score", SCORE, "safe", "order-desk", timeoutMillis, 3).put("public", true);
        route(routes, "roll", ROLL, "rollout", "model-farm", 10_000, 3)
                .put("runDueMs", 7_500)
                .put("maxWaitS", maxWaitSeconds)
                .put("sticky", true);
        if (!addedRoute.isEmpty()) {
            route(routes, "roll-2", addedRoute, "rollout", "model-farm", 10_000, 3)
                    .put("runDueMs", 7_500)
                    .put("maxWaitS", maxWaitSeconds)
                    .put("sticky", true);
        }
        ArrayNode services = manifest.putArray("services");
        services.addObject().put("name", "order-desk").put("maxConns", 96);
        ArrayNode engines =
                services.addObject()
                        .put("name", "model-farm")
                        .put("maxConns", 130)
                        .putObject("engine")
                        .putArray("models");
        for (String model : models) {
            engines.addObject().put("name", model);
        }
        manifest.putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 33_554_432)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        manifest.putArray("tenants")
                .addObject()
                .put("name", TEAM)
                .put("priority", 1)
                .putArray("apiKeys")
                .add(KEY);
        store.write("op", "config", manifest.toString());
        record.line(
                "manifest %d: timeoutMs %d, maxWaitS %d%s",
                version,
                timeoutMillis,
                maxWaitSeconds,
                addedRoute.isEmpty() ? "" : ", new route " + addedRoute);
    }

    private static ObjectNode route(
            ArrayNode routes, String name, String prefix, String kind, String service, int timeout, int attempts) {
        return routes.addObject()
                .put("name", name)
                .put("hostname", HOST)
                .put("pathPrefix", prefix)
                .put("kind", kind)
                .put("service", service)
                .put("timeoutMs", timeout)
                .put("targetLatencyMs", 800)
                .put("priority", 2)
                .put("maxAttempts", attempts);
    }

    /** Returns the header fields of a tenant's request. */
    static Map<String, String> fields(String id) {
        Map<String, String> fields = new HashMap<>();
        fields.put("Host", HOST);
        fields.put("Authorization", "Bearer " + KEY);
        fields.put("Request-Id", id);
        fields.put("Deadline-Ms", "10000");
        return fields;
    }

    /** Returns a submission with groups of four items. */
    static byte[] submission(
            int step, String model, String prefix, int items, int bodyBytes, String itemPath, int tokens) {
        ObjectNode submission =
                MAPPER.createObjectNode()
                        .put("step", step)
                        .put("model", model)
                        .put("minVersion", 1)
                        .put("targetCount", Math.max(1, items / 4 * 9 / 10));
        ArrayNode requests = submission.putArray("requests");
        byte[] body = new byte[bodyBytes];
        for (int i = 0; i < items; i++) {
            String id = String.format("%s%06x", prefix, i);
            for (int b = 0; b < bodyBytes; b++) {
                body[b] = (byte) (i * 31 + b * 7);
            }
            ObjectNode item =
                    requests.addObject()
                            .put("id", id)
                            .put("path", itemPath + id)
                            .put("body", Base64.getEncoder().encodeToString(body))
                            .put("tokenCount", 540 + tokens)
                            .put("group", prefix + "g" + i / 4);
            item.putObject("headers")
                    .put("Model", model)
                    .put("Token-Usage", "540," + tokens)
                    .put("Prompt-Prefix", "9c2e41:300,5d07b8:240");
            item.putObject("scorer")
                    .put("id", "s" + id)
                    .put("hostname", HOST)
                    .put("path", SCORE + id)
                    .put("body", Base64.getEncoder().encodeToString(("judge " + id).getBytes(StandardCharsets.UTF_8)));
        }
        return submission.toString().getBytes(StandardCharsets.UTF_8);
    }

    Caller.Response submit(Instance at, String id, byte[] body) {
        return submit(at, ROLL, id, body);
    }

    Caller.Response submit(Instance at, String prefix, String id, byte[] body) {
        Caller.Response response =
                Caller.call(at.port, "POST", prefix + id, fields(id), body, 11_500);
        record.line("submission %s of %d bytes at %s: %d", id, body.length, at.name, response.status());
        return response;
    }

    Caller.Response results(Instance at, String id, int after) {
        Map<String, String> fields = fields("r" + id + after);
        fields.put("Wait-Ms", "1000");
        return Caller.call(at.port, "GET", "/api/lots/" + id + "?after=" + after, fields, null, 3_000);
    }

    private static String environment(String deploy) {
        Matcher line = Pattern.compile("(?m)^env = \\{(.*)}\\s*$").matcher(deploy);
        return line.find() ? line.group(1) : "";
    }

    private static String value(String deploy, String key) {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"\\s*$").matcher(deploy);
        if (!line.find()) {
            throw new IllegalStateException("no line " + key);
        }
        return line.group(1);
    }

    private static String fill(String text, Map<String, String> fields) {
        Matcher place = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
        return place.replaceAll(
                found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
    }

    /** Returns a port below those that the system gives to outgoing connections, each one once. */
    private static synchronized int freePort() {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (GIVEN_PORTS.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // In use.
            }
        }
        throw new IllegalStateException("no free port");
    }

    @Override
    public void close() throws IOException {
        endInstances();
        for (Instance instance : instances) {
            instance.link.close();
        }
        workers.forEach(Worker::close);
        store.close();
        record.close();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } else {
            System.out.println("logs in " + folder);
        }
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What was sent, answered and run, with the milliseconds since the start of the script. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%7d ", millis());
        out.println(String.format(format, arguments));
        out.flush();
    }

    /** Writes a line here and on standard output. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }

    static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equal = part.indexOf('=');
                query.put(
                        part.substring(0, Math.max(0, equal)),
                        URLDecoder.decode(part.substring(equal + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since its start. */
final class RunLog implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    RunLog(Path file) throws IOException {
        mOut = new PrintWriter(file.toFile(), "UTF-8");
    }

    synchronized void line(String text) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        mOut.printf(Locale.ROOT, "%8.3f  %s%n", seconds, text);
        mOut.flush();
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}

package org.fuchsialever.node.trace;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object a line. Lines go through a bounded ring to a thread of their own; a line
 * that finds the ring full is dropped and counted, so that no caller ever waits.
 */
public final class TraceLog implements AutoCloseable {
    /** About 1 MB of lines; more would outlast any stall of the output worth surviving. */
    private static final int RING_LINES = 4_096;

    /** Lines are written together, so that one write serves many of them. */
    private static final int MOST_LINES_PER_WRITE = 256;

    /** Ordinary lines in one second above which further ones are dropped and counted. */
    private static final int MOST_ORDINARY_PER_SECOND = 400;

    private static final long FLUSH_MILLIS = 100;
    private static final long JOIN_MILLIS = 500;

    private final BlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_LINES);
    private final PrintStream output;
    private final Counter dropped;
    private final Counter sampledOut;
    private final AtomicLong second = new AtomicLong();
    private final AtomicLong inSecond = new AtomicLong();
    private final Thread writer;
    private volatile boolean running = true;

    /**
     * Creates a log and starts its thread.
     *
     * @param output receives the lines
     * @param meters the registry for the counters of lines that were not written
     */
    public TraceLog(PrintStream output, MeterRegistry meters) {
        this.output = output;
        this.dropped = meters.counter("fuchsialever.trace.dropped", "reason", "ring-full");
        this.sampledOut = meters.counter("fuchsialever.trace.dropped", "reason", "rate");
        this.writer = new Thread(this::run, "duty-trace");
        this.writer.setDaemon(true);
        this.writer.start();
    }

    /** Begins a line that is always written while the ring has room. */
    public Line line(String part, String event) {
        return new Line(part, event, false);
    }

    /** Begins a line about an ordinary success; under load some of these are left out. */
    public Line sampled(String part, String event) {
        return new Line(part, event, true);
    }

    /** Writes the lines that wait and stops. */
    @Override
    public void close() throws InterruptedException {
        running = false;
        writer.join(JOIN_MILLIS);
    }

    private void run() {
        StringBuilder lines = new StringBuilder();
        while (running || !ring.isEmpty()) {
            try {
                String first = ring.poll(FLUSH_MILLIS * 10, TimeUnit.MILLISECONDS);
                if (first != null) {
                    write(lines, first);
                }
            } catch (InterruptedException e) {
                running = false;
            }
        }
    }

    private void write(StringBuilder lines, String first) {
        lines.setLength(0);
        lines.append(first);
        int count = 1;
        String next = ring.poll();
        while (next != null) {
            lines.append(next);
            count++;
            next = count < MOST_LINES_PER_WRITE ? ring.poll() : null;
        }
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
        output.flush();
    }

    private boolean isOverRate() {
        long now = System.nanoTime() / TimeUnit.SECONDS.toNanos(1);
        if (second.getAndSet(now) != now) {
            inSecond.set(0);
        }
        return inSecond.incrementAndGet() > MOST_ORDINARY_PER_SECOND;
    }

    /** One line in progress. */
    public final class Line {
        private final StringBuilder text = new StringBuilder(160);
        private final boolean ordinary;

        private Line(String part, String event, boolean ordinary) {
            this.ordinary = ordinary;
            text.append("{\"at\":").append(System.currentTimeMillis());
            with("part", part).with("event", event);
        }

        /** Adds a text. */
        public Line with(String name, String value) {
            text.append(",\"").append(name).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
            return this;
        }

        /** Adds a number. */
        public Line with(String name, long value) {
            text.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Hands the line over; never waits. */
        public void write() {
            if (ordinary && isOverRate()) {
                sampledOut.increment();
            } else if (!ring.offer(text.append("}\n").toString())) {
                dropped.increment();
            }
        }
    }
}

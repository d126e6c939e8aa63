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
import org.fuchsialever.kernel.duty.ProcessEnd;

/**
 * Writes one JSON object per line. Lines go through a bounded ring to a thread of their own; a line
 * that finds the ring full is dropped and counted, so that no caller ever waits.
 */
public final class TraceLog implements AutoCloseable {
    /** About 1 MB of lines; longer stalls of the output lose lines. */
    private static final int RING_LINES = 4_096;

    /** Pending lines are combined to save writes. */
    private static final int MAX_LINES_PER_WRITE = 256;

    /** Limit of sampled lines per second; further ones are dropped and counted. */
    private static final int MAX_SAMPLED_PER_SECOND = 400;

    private static final long FLUSH_MILLIS = 100;
    private static final long JOIN_TIMEOUT_MILLIS = 500;

    private final BlockingQueue<String> mRing = new ArrayBlockingQueue<>(RING_LINES);
    private final PrintStream mOutput;
    private final Counter mDropped;
    private final Counter mSampledOut;
    private final AtomicLong mSecond = new AtomicLong();
    private final AtomicLong mInSecond = new AtomicLong();
    private final Thread mWriter;
    private volatile boolean mRunning = true;

    /**
     * Creates a log and starts its thread.
     *
     * @param output receives the lines
     * @param meters the registry for the counters of lines that were not written
     */
    public TraceLog(PrintStream output, MeterRegistry meters) {
        mOutput = output;
        mDropped = meters.counter("fuchsialever.trace.dropped", "reason", "ring-full");
        mSampledOut = meters.counter("fuchsialever.trace.dropped", "reason", "rate");
        mWriter = new Thread(this::run, "duty-trace");
        mWriter.setDaemon(true);
        mWriter.setUncaughtExceptionHandler(ProcessEnd.HALT);
        mWriter.start();
    }

    /** Begins a line that is always written while the ring has room. */
    public Line line(String part, String event) {
        return new Line(part, event, false);
    }

    /** Begins a line about a routine success, which is dropped above a rate. */
    public Line sampled(String part, String event) {
        return new Line(part, event, true);
    }

    /** Writes the pending lines and stops the thread. */
    @Override
    public void close() throws InterruptedException {
        mRunning = false;
        mWriter.join(JOIN_TIMEOUT_MILLIS);
    }

    private void run() {
        StringBuilder lines = new StringBuilder();
        while (mRunning || !mRing.isEmpty()) {
            try {
                String first = mRing.poll(FLUSH_MILLIS * 10, TimeUnit.MILLISECONDS);
                if (first != null) {
                    write(lines, first);
                }
            } catch (InterruptedException e) {
                mRunning = false;
            }
        }
    }

    private void write(StringBuilder lines, String first) {
        lines.setLength(0);
        lines.append(first);
        int count = 1;
        String next = mRing.poll();
        while (next != null) {
            lines.append(next);
            count++;
            next = count < MAX_LINES_PER_WRITE ? mRing.poll() : null;
        }
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        mOutput.write(bytes, 0, bytes.length);
        mOutput.flush();
    }

    private boolean isOverRate() {
        long now = System.nanoTime() / TimeUnit.SECONDS.toNanos(1);
        if (mSecond.getAndSet(now) != now) {
            mInSecond.set(0);
        }
        return mInSecond.incrementAndGet() > MAX_SAMPLED_PER_SECOND;
    }

    /** A line under construction. */
    public final class Line {
        private final StringBuilder mText = new StringBuilder(160);
        private final boolean mSampled;

        private Line(String part, String event, boolean sampled) {
            mSampled = sampled;
            mText.append("{\"at\":").append(System.currentTimeMillis());
            with("part", part).with("event", event);
        }

        /** Adds a text. */
        public Line with(String name, String value) {
            mText.append(",\"").append(name).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(value, mText);
            mText.append('"');
            return this;
        }

        /** Adds a number. */
        public Line with(String name, long value) {
            mText.append(",\"").append(name).append("\":").append(value);
            return this;
        }

        /** Passes the line to the writer thread; never blocks. */
        public void write() {
            if (mSampled && isOverRate()) {
                mSampledOut.increment();
            } else if (!mRing.offer(mText.append("}\n").toString())) {
                mDropped.increment();
            }
        }
    }
}

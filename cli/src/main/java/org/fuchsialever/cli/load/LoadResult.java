package org.fuchsialever.cli.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Times and counts of answers. Thread-safe. */
final class LoadResult {
    private static final long LONGEST_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private final Histogram mFirstByte = new ConcurrentHistogram(LONGEST_NANOS, DIGITS);
    private final Histogram mTotal = new ConcurrentHistogram(LONGEST_NANOS, DIGITS);
    private final Map<String, LongAdder> mAnswers = new ConcurrentSkipListMap<>();

    /** Records a complete answer with status 200; times count from the scheduled send time. */
    void succeeded(long firstByteNanos, long totalNanos) {
        mFirstByte.recordValue(Math.min(firstByteNanos, LONGEST_NANOS));
        mTotal.recordValue(Math.min(totalNanos, LONGEST_NANOS));
        count("200");
    }

    /** Counts an answer or failure under a name such as {@code 503 queue-full}. */
    void count(String name) {
        mAnswers.computeIfAbsent(name, key -> new LongAdder()).increment();
    }

    long completed() {
        return mTotal.getTotalCount();
    }

    long count() {
        return mAnswers.values().stream().mapToLong(LongAdder::sum).sum();
    }

    double firstByteMillis(double percentile) {
        return mFirstByte.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    double totalMillis(double percentile) {
        return mTotal.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    void toJson(ObjectNode body) {
        ObjectNode counts = body.putObject("answers");
        mAnswers.forEach((name, count) -> counts.put(name, count.sum()));
        ObjectNode first = body.putObject("first_byte_ms");
        ObjectNode whole = body.putObject("total_ms");
        for (double percentile : PERCENTILES) {
            first.put(label(percentile), firstByteMillis(percentile));
            whole.put(label(percentile), totalMillis(percentile));
        }
    }

    void print(PrintStream out, String title) {
        out.println(title);
        mAnswers.forEach((name, count) -> out.printf("  answers %-28s %d%n", name, count.sum()));
        out.printf("  %-16s %12s %12s%n", "milliseconds", "first byte", "total");
        for (double percentile : PERCENTILES) {
            out.printf(
                    Locale.ROOT,
                    "  %-16s %12.3f %12.3f%n",
                    label(percentile),
                    firstByteMillis(percentile),
                    totalMillis(percentile));
        }
    }

    void printDistributions(PrintStream out) {
        out.println("Time to first byte, in milliseconds:");
        mFirstByte.outputPercentileDistribution(out, NANOS_PER_MILLI);
        out.println("Total time, in milliseconds:");
        mTotal.outputPercentileDistribution(out, NANOS_PER_MILLI);
    }

    private static String label(double percentile) {
        return percentile == 100 ? "max" : "p" + Double.toString(percentile).replace(".0", "");
    }
}

package org.fuchsialever.decisions.version;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Speeds of engines as this instance sees them: the time for an event beside the median of the
 * engines of the same model, since events of models differ in size. Safe for several threads.
 */
public final class EnginePaces {
    /** A pace counts for this long after it was last measured. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Fewer calls say little, because the pace varies with the load of an engine. */
    private static final int MIN_CALLS = 5;

    /** A median of fewer engines says little. */
    private static final int MIN_ENGINES = 3;

    private static final double CALL_WEIGHT = 0.1;

    /** Smaller deviations from the median, in percent, count as none. */
    private static final int MIN_DEVIATION_PERCENT = 15;

    private static final int MIN_PERCENT = 10;
    private static final int MAX_PERCENT = 1_000;

    private final Map<String, Map<String, Pace>> mPaces = new HashMap<>();

    /** Takes note of the pace at which a call ran. */
    public synchronized void observe(
            String model, String engine, long nanosPerEvent, long nowNanos) {
        if (nanosPerEvent > 0) {
            mPaces.computeIfAbsent(model, name -> new HashMap<>())
                    .computeIfAbsent(engine, id -> new Pace())
                    .add(nanosPerEvent, nowNanos);
        }
    }

    /**
     * Returns the engines whose speed differs from the usual one.
     *
     * @return speed in percent of the median by the ID of the engine
     */
    public synchronized Map<String, Integer> speedPercents(long nowNanos) {
        Map<String, double[]> sums = new TreeMap<>();
        for (Map<String, Pace> engines : mPaces.values()) {
            engines.values().removeIf(pace -> nowNanos - pace.mMeasuredNanos >= LIFETIME_NANOS);
            double[] known =
                    engines.values().stream()
                            .filter(pace -> pace.mCalls >= MIN_CALLS)
                            .mapToDouble(pace -> pace.mNanosPerEvent)
                            .sorted()
                            .toArray();
            if (known.length < MIN_ENGINES) {
                continue;
            }
            double median = known[known.length / 2];
            engines.forEach(
                    (id, pace) -> {
                        if (pace.mCalls >= MIN_CALLS) {
                            double[] sum = sums.computeIfAbsent(id, name -> new double[2]);
                            sum[0] += median / pace.mNanosPerEvent;
                            sum[1]++;
                        }
                    });
        }
        mPaces.values().removeIf(Map::isEmpty);
        Map<String, Integer> percents = new TreeMap<>();
        sums.forEach(
                (id, sum) -> {
                    long percent = Math.round(100 * sum[0] / sum[1]);
                    if (Math.abs(percent - 100) > MIN_DEVIATION_PERCENT) {
                        percents.put(
                                id, (int) Math.max(MIN_PERCENT, Math.min(MAX_PERCENT, percent)));
                    }
                });
        return percents;
    }

    private static final class Pace {
        private double mNanosPerEvent;
        private int mCalls;
        private long mMeasuredNanos;

        void add(long nanosPerEvent, long nowNanos) {
            mCalls++;
            mNanosPerEvent +=
                    Math.max(CALL_WEIGHT, 1.0 / mCalls) * (nanosPerEvent - mNanosPerEvent);
            mMeasuredNanos = nowNanos;
        }
    }
}

package org.fuchsialever.decisions.version;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Speeds of engines as this instance sees them: the time for an event beside the usual one of the
 * model, since events of models differ in size. The models are compared by engines that have served
 * several of them, because the engines of a model may all be fast or slow. Safe for several
 * threads.
 */
public final class EnginePaces {
    /** The speed of an engine counts for this long after it was last measured. */
    private static final long SPEED_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** A pace serves to compare models for this long. */
    private static final long PACE_LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Fewer calls say little, because the pace varies with the load of an engine. */
    private static final int MIN_CALLS = 5;

    /** A median of fewer engines says little. */
    private static final int MIN_ENGINES = 3;

    private static final double CALL_WEIGHT = 0.1;

    /** Smaller deviations from the usual speed, in percent, count as none. */
    private static final int MIN_DEVIATION_PERCENT = 15;

    private static final int MIN_PERCENT = 10;
    private static final int MAX_PERCENT = 1_000;

    private final Map<String, Map<String, Pace>> mPaces = new TreeMap<>();

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
     * @return speed in percent of the usual one by the ID of the engine
     */
    public synchronized Map<String, Integer> speedPercents(long nowNanos) {
        mPaces.values()
                .forEach(
                        engines ->
                                engines.values()
                                        .removeIf(
                                                pace -> pace.age(nowNanos) >= PACE_LIFETIME_NANOS));
        mPaces.values().removeIf(Map::isEmpty);
        Map<String, Pace> reference = Map.of();
        for (Map<String, Pace> engines : mPaces.values()) {
            reference = engines.size() > reference.size() ? engines : reference;
        }
        double usual = median(reference, Map.of(), 1);
        Map<String, double[]> sums = new TreeMap<>();
        for (Map<String, Pace> engines : mPaces.values()) {
            double shared = median(engines, reference, usual);
            double size = shared > 0 ? shared : median(engines, Map.of(), 1);
            engines.forEach(
                    (id, pace) -> {
                        if (size > 0
                                && pace.isKnown()
                                && pace.age(nowNanos) < SPEED_LIFETIME_NANOS) {
                            double[] sum = sums.computeIfAbsent(id, name -> new double[2]);
                            sum[0] += size / pace.mNanosPerEvent;
                            sum[1]++;
                        }
                    });
        }
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

    /**
     * Returns the median time for an event of a model on a usual engine.
     *
     * @param reference paces by which each engine is made a usual one; empty for as they are
     * @param usual the median of the reference
     * @return 0 if too few engines are known
     */
    private static double median(
            Map<String, Pace> engines, Map<String, Pace> reference, double usual) {
        double[] paces =
                engines.entrySet().stream()
                        .filter(entry -> entry.getValue().isKnown())
                        .mapToDouble(
                                entry -> {
                                    Pace known = reference.get(entry.getKey());
                                    double own = entry.getValue().mNanosPerEvent;
                                    if (reference.isEmpty()) {
                                        return own;
                                    }
                                    return known == null || !known.isKnown()
                                            ? 0
                                            : own * usual / known.mNanosPerEvent;
                                })
                        .filter(pace -> pace > 0)
                        .sorted()
                        .toArray();
        return paces.length < MIN_ENGINES ? 0 : paces[paces.length / 2];
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

        boolean isKnown() {
            return mCalls >= MIN_CALLS;
        }

        long age(long nowNanos) {
            return nowNanos - mMeasuredNanos;
        }
    }
}

package org.fuchsialever.decisions.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** What calls of a service take, and how its upstreams compare. Single writer. */
public final class ServiceProfile {
    /** Assumed for a call before one of its kind has ended; only ratios of times matter then. */
    private static final long DEFAULT_WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Number of calls over which typical times are averaged. */
    private static final double MEMORY = 32;

    /** Worth of a measurement below which the speed counts as unknown. */
    private static final double MIN_CONFIDENCE = 0.3;

    private static final long MEDIAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Relative difference of service times that calls of different length explain. */
    private static final double SERVICE_TIME_SPREAD = 0.3;

    private final Map<String, KindTimes> mTimes = new HashMap<>();
    private final KindTimes mAllTimes = new KindTimes();
    private boolean mReportsSlowdown;
    private double mMedianPace;
    private double mMedianServiceTime;
    private long mNextMedian = Long.MIN_VALUE;

    /** Returns whether an upstream of the service has reported its slowdown. */
    public boolean reportsSlowdown() {
        return mReportsSlowdown;
    }

    /** Records that an upstream of the service has reported its slowdown. */
    public void noteSlowdownReported() {
        mReportsSlowdown = true;
    }

    /**
     * Returns the time that a call takes at a typical upstream.
     *
     * @param kind what distinguishes the call from others of the service
     * @param expectedTokens estimate of the tokens that it generates, 0 if there is none
     */
    public long workNanos(String kind, long expectedTokens) {
        KindTimes times = mTimes.get(kind);
        if (times == null) {
            return DEFAULT_WORK_NANOS;
        }
        return (long)
                (expectedTokens > 0 && times.nanosPerToken() > 0
                        ? expectedTokens * times.nanosPerToken()
                        : times.mean());
    }

    /** Returns the mean time of the calls of all kinds at a typical upstream. */
    long typicalNanos() {
        return mAllTimes.mean() == 0 ? DEFAULT_WORK_NANOS : (long) mAllTimes.mean();
    }

    /** Records how long a call took that one upstream ran from its beginning to its end. */
    public void observe(
            UpstreamState upstream, String kind, long expectedTokens, long nanos, long now) {
        KindTimes times = mTimes.computeIfAbsent(kind, added -> new KindTimes());
        if (times.mean() > 0) {
            upstream.observeServiceTime(nanos / times.mean(), now);
        }
        double usual = nanos / speedFactor(upstream, now);
        times.observe(usual, expectedTokens);
        mAllTimes.observe(usual, 0);
    }

    /**
     * Returns how many times as long work takes at an upstream as at the median one of those that
     * were measured; 1 for one of unknown speed, so that it is tried.
     */
    double speedFactor(UpstreamState upstream, long now) {
        if (mMedianPace > 0) {
            return factor(upstream.pace(), mMedianPace, now);
        }
        double factor = factor(upstream.serviceTime(), mMedianServiceTime, now);
        return factor > 1
                ? Math.max(1, factor - SERVICE_TIME_SPREAD)
                : Math.min(1, factor + SERVICE_TIME_SPREAD);
    }

    /** Returns whether the speed of an upstream was measured recently. */
    public boolean isMeasured(UpstreamState upstream, long now) {
        SpeedMeter meter = mMedianPace > 0 ? upstream.pace() : upstream.serviceTime();
        return meter.confidence(now) > MIN_CONFIDENCE;
    }

    private static double factor(SpeedMeter meter, double median, long now) {
        return median > 0 && meter.isKnown()
                ? 1 + (meter.mean() / median - 1) * meter.confidence(now)
                : 1;
    }

    /** Compares the upstreams of the service anew if that was not done recently. */
    void compare(Collection<UpstreamState> upstreams, long now) {
        if (now < mNextMedian) {
            return;
        }
        mNextMedian = now + MEDIAN_INTERVAL_NANOS;
        mMedianPace = median(upstreams, UpstreamState::pace);
        mMedianServiceTime = median(upstreams, UpstreamState::serviceTime);
    }

    private static double median(
            Collection<UpstreamState> upstreams, Function<UpstreamState, SpeedMeter> meter) {
        double[] means =
                upstreams.stream()
                        .map(meter)
                        .filter(SpeedMeter::isKnown)
                        .mapToDouble(SpeedMeter::mean)
                        .sorted()
                        .toArray();
        return means.length == 0 ? 0 : means[(means.length - 1) / 2];
    }

    /** Times of the calls of one kind; older calls count less. */
    private static final class KindTimes {
        private double mNanos;
        private double mCalls;
        private double mTokenNanos;
        private double mTokens;

        void observe(double nanos, long tokens) {
            double kept = 1 - 1 / MEMORY;
            mNanos = mNanos * kept + nanos;
            mCalls = mCalls * kept + 1;
            if (tokens > 0) {
                mTokenNanos = mTokenNanos * kept + nanos;
                mTokens = mTokens * kept + tokens;
            }
        }

        double mean() {
            return mCalls == 0 ? 0 : mNanos / mCalls;
        }

        double nanosPerToken() {
            return mTokens == 0 ? 0 : mTokenNanos / mTokens;
        }
    }
}

package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;

/** State of one upstream as known to this instance. */
final class UpstreamLoad {
    private static final int RECENT_SENDS = 64;

    /** A short queue at the upstream keeps it busy until this instance learns of a free slot. */
    private static final int MAX_UPSTREAM_QUEUE = 2;

    private final long[] mSentAt = new long[RECENT_SENDS];
    private final Health mHealth = new Health();
    private final ConcurrencyLimit mLimit;
    private UpstreamSpec mSpec;
    private int mSends;
    private int mInFlight;
    private int mReportedBusy = -1;
    private long mReportedAt;
    private int mSentSinceReport;
    private int mEndedSinceReport;
    private boolean mLeaving;
    private boolean mRemoved;

    UpstreamLoad(UpstreamSpec spec) {
        mSpec = spec;
        mLimit = new ConcurrencyLimit(spec.slots());
    }

    UpstreamSpec spec() {
        return mSpec;
    }

    Health health() {
        return mHealth;
    }

    int inFlight() {
        return mInFlight;
    }

    /** Applies a changed row of the pool table. */
    void update(UpstreamSpec newSpec) {
        mSpec = newSpec;
        mRemoved = false;
    }

    /** Marks the upstream as removed from the pool table; its running requests may finish. */
    void markRemoved() {
        mRemoved = true;
    }

    void markLeaving() {
        mLeaving = true;
    }

    boolean isLeaving() {
        return mLeaving || mRemoved || mSpec.state() == UpstreamState.LEAVING;
    }

    /**
     * Returns whether another request may be sent.
     *
     * @param withinQuota whether the team is below its quota; otherwise a slot must be estimated to
     *     be free, so that the request does not take the share of other instances
     */
    boolean canAccept(boolean withinQuota, PoolAverage average, long nowNanos) {
        if (isLeaving() || mHealth.isEjected(nowNanos)) {
            return false;
        }
        double factor = mHealth.capacityFactor(nowNanos);
        return mInFlight < Math.max(1, mLimit.limit() * factor)
                && (withinQuota
                        || estimatedBusy(average, nowNanos)
                                < mSpec.slots() * factor + MAX_UPSTREAM_QUEUE);
    }

    void onSent(long nowNanos) {
        mInFlight++;
        mSentSinceReport++;
        mSentAt[mSends++ & (RECENT_SENDS - 1)] = nowNanos;
    }

    void onEnded(AttemptReport report) {
        if (report.firstByteNanos() >= 0) {
            mLimit.onResponse(report.firstByteNanos(), report.totalNanos(), mInFlight);
        }
        mInFlight--;
        mEndedSinceReport++;
        if (report.result() == AttemptResult.NOT_ADMITTED) {
            mLimit.onNotAdmitted();
        }
    }

    /** Applies a load report and adds the requests that were sent while it was in transit. */
    void onReport(LoadReport report, long nowNanos) {
        mReportedBusy = report.running() + report.waiting();
        mReportedAt = nowNanos - report.ageNanos();
        mSentSinceReport = sentWithin(report.ageNanos(), nowNanos);
        mEndedSinceReport = 0;
        if (report.leaving()) {
            mLeaving = true;
        }
    }

    /**
     * Returns the estimated number of requests at the upstream, including those of other instances.
     * A new report is used as it is. With the age of the report the estimate moves to the average
     * of the pool, corrected by the requests of this instance in flight; otherwise all instances
     * would send to whichever upstream was idle at the time of the report.
     *
     * @param nowNanos monotonic time in nanoseconds
     */
    double estimatedBusy(PoolAverage average, long nowNanos) {
        if (mReportedBusy < 0) {
            return mInFlight;
        }
        double weight = average.reportWeight(nowNanos - mReportedAt);
        double reported = Math.max(mInFlight, mReportedBusy + mSentSinceReport - mEndedSinceReport);
        double expected = Math.max(mInFlight, average.busy() + mInFlight - average.inFlight());
        return weight * reported + (1 - weight) * expected;
    }

    /** Returns the last reported number of requests, regardless of the age of the report. */
    int reportedBusy() {
        return Math.max(0, mReportedBusy);
    }

    /**
     * Returns the load relative to capacity after one more request; 1 means that all slots are in
     * use.
     */
    double loadAfterOneMore(PoolAverage average, long nowNanos) {
        double capacity = mSpec.slots() * mHealth.capacityFactor(nowNanos);
        return (estimatedBusy(average, nowNanos) + 1) / capacity;
    }

    private int sentWithin(long ageNanos, long nowNanos) {
        int count = 0;
        int recorded = Math.min(mSends, RECENT_SENDS);
        while (count < recorded
                && nowNanos - mSentAt[(mSends - 1 - count) & (RECENT_SENDS - 1)] <= ageNanos) {
            count++;
        }
        return count;
    }
}

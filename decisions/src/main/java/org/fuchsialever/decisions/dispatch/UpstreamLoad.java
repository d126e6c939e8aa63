package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;

/** State of one upstream as known to this instance. */
final class UpstreamLoad {
    private static final int RECENT_SENDS = 64;

    /** A short queue at the upstream keeps it busy until this instance learns of a free slot. */
    private static final int MAX_UPSTREAM_QUEUE = 2;

    private final long[] sentAt = new long[RECENT_SENDS];
    private final Health health = new Health();
    private final ConcurrencyLimit limit;
    private UpstreamSpec spec;
    private int sends;
    private int inFlight;
    private int reportedBusy = -1;
    private long reportedAt;
    private int sentSinceReport;
    private int endedSinceReport;
    private boolean leaving;
    private boolean removed;

    UpstreamLoad(UpstreamSpec spec) {
        this.spec = spec;
        this.limit = new ConcurrencyLimit(spec.slots());
    }

    UpstreamSpec spec() {
        return spec;
    }

    Health health() {
        return health;
    }

    int inFlight() {
        return inFlight;
    }

    /** Applies a changed row of the pool table. */
    void update(UpstreamSpec newSpec) {
        spec = newSpec;
        removed = false;
    }

    /** Marks the upstream as removed from the pool table; its running requests may finish. */
    void markRemoved() {
        removed = true;
    }

    void markLeaving() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving || removed || spec.state() == UpstreamState.LEAVING;
    }

    /**
     * Returns whether another request may be sent.
     *
     * @param withinQuota whether the team is below its quota; otherwise a slot must be estimated to
     *     be free, so that the request does not take the share of other instances
     */
    boolean canAccept(boolean withinQuota, PoolAverage average, long nowNanos) {
        if (isLeaving() || health.isEjected(nowNanos)) {
            return false;
        }
        double factor = health.capacityFactor(nowNanos);
        return inFlight < Math.max(1, limit.limit() * factor)
                && (withinQuota
                        || estimatedBusy(average, nowNanos)
                                < spec.slots() * factor + MAX_UPSTREAM_QUEUE);
    }

    void onSent(long nowNanos) {
        inFlight++;
        sentSinceReport++;
        sentAt[sends++ & (RECENT_SENDS - 1)] = nowNanos;
    }

    void onEnded(AttemptReport report) {
        if (report.firstByteNanos() >= 0) {
            limit.onResponse(report.firstByteNanos(), report.totalNanos(), inFlight);
        }
        inFlight--;
        endedSinceReport++;
        if (report.result() == AttemptResult.NOT_ADMITTED) {
            limit.onNotAdmitted();
        }
    }

    /** Applies a load report and adds the requests that were sent while it was in transit. */
    void onReport(LoadReport report, long nowNanos) {
        reportedBusy = report.running() + report.waiting();
        reportedAt = nowNanos - report.ageNanos();
        sentSinceReport = sentWithin(report.ageNanos(), nowNanos);
        endedSinceReport = 0;
        if (report.leaving()) {
            leaving = true;
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
        if (reportedBusy < 0) {
            return inFlight;
        }
        double weight = average.reportWeight(nowNanos - reportedAt);
        double reported = Math.max(inFlight, reportedBusy + sentSinceReport - endedSinceReport);
        double expected = Math.max(inFlight, average.busy() + inFlight - average.inFlight());
        return weight * reported + (1 - weight) * expected;
    }

    /** Returns the last reported number of requests, regardless of the age of the report. */
    int reportedBusy() {
        return Math.max(0, reportedBusy);
    }

    /**
     * Returns the load relative to capacity after one more request; 1 means that all slots are in
     * use.
     */
    double loadAfterOneMore(PoolAverage average, long nowNanos) {
        double capacity = spec.slots() * health.capacityFactor(nowNanos);
        return (estimatedBusy(average, nowNanos) + 1) / capacity;
    }

    private int sentWithin(long ageNanos, long nowNanos) {
        int count = 0;
        int recorded = Math.min(sends, RECENT_SENDS);
        while (count < recorded
                && nowNanos - sentAt[(sends - 1 - count) & (RECENT_SENDS - 1)] <= ageNanos) {
            count++;
        }
        return count;
    }
}

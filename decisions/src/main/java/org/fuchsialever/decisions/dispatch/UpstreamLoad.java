package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;

/** What this instance knows of one upstream. */
final class UpstreamLoad {
    private static final int RECENT_SENDS = 64;

    /** A short queue keeps an upstream busy until this instance hears of a free slot. */
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

    /** Takes a changed row of the pool table. */
    void update(UpstreamSpec newSpec) {
        spec = newSpec;
        removed = false;
    }

    /** The upstream is no longer in the pool table; its running requests may finish. */
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
     * @param withinQuota whether the team has a right to the slot; otherwise the slot must probably
     *     be free, so that the share of other instances is not taken
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

    /** Takes a load report; requests sent while it was on its way are added to it. */
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
     * Returns the estimated number of requests at the upstream, those of other instances too. A
     * fresh report is trusted. The older it is, the less it says about the upstream compared with
     * its neighbours, so the estimate moves to the average of the pool, corrected by what this
     * instance itself has in flight; otherwise all instances rush to whatever was idle at the time
     * of the report.
     *
     * @param average the averages of the pool
     * @param nowNanos monotonic time
     */
    double estimatedBusy(PoolAverage average, long nowNanos) {
        if (reportedBusy < 0) {
            return inFlight;
        }
        double trust = average.reportWeight(nowNanos - reportedAt);
        double reported = Math.max(inFlight, reportedBusy + sentSinceReport - endedSinceReport);
        double assumed = Math.max(inFlight, average.busy() + inFlight - average.inFlight());
        return trust * reported + (1 - trust) * assumed;
    }

    /** Returns the last reported number of requests, for a policy that looks at nothing else. */
    int reportedBusy() {
        return Math.max(0, reportedBusy);
    }

    /** Returns load per capacity after one more request; 1 means that all slots are in use. */
    double loadAfterOneMore(PoolAverage average, long nowNanos) {
        double capacity = spec.slots() * health.capacityFactor(nowNanos);
        return (estimatedBusy(average, nowNanos) + 1) / capacity;
    }

    private int sentWithin(long ageNanos, long nowNanos) {
        int count = 0;
        int kept = Math.min(sends, RECENT_SENDS);
        while (count < kept
                && nowNanos - sentAt[(sends - 1 - count) & (RECENT_SENDS - 1)] <= ageNanos) {
            count++;
        }
        return count;
    }
}

package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;

/** What this instance knows of one upstream. */
final class UpstreamLoad {
    private static final int RECENT_SENDS = 64;

    private final long[] sentAt = new long[RECENT_SENDS];
    private final Health health = new Health();
    private final ConcurrencyLimit limit;
    private UpstreamSpec spec;
    private int sends;
    private int inFlight;
    private int reportedBusy = -1;
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
    void remove() {
        removed = true;
    }

    void leave() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving || removed || spec.state() == UpstreamState.LEAVING;
    }

    boolean canTake(long nowNanos) {
        return !isLeaving()
                && !health.isEjected(nowNanos)
                && inFlight < Math.max(1, limit.limit() * health.capacityFactor(nowNanos));
    }

    void onSent(long nowNanos) {
        inFlight++;
        sentSinceReport++;
        sentAt[sends++ & (RECENT_SENDS - 1)] = nowNanos;
    }

    void onEnded(AttemptReport report) {
        inFlight--;
        endedSinceReport++;
        if (report.firstByteNanos() >= 0) {
            limit.onFirstByte(report.firstByteNanos(), inFlight);
        }
        if (report.result() == AttemptResult.NOT_ADMITTED) {
            limit.onNotAdmitted();
        }
    }

    /** Takes a load report; requests sent while it was on its way are added to it. */
    void onReport(LoadReport report, long nowNanos) {
        reportedBusy = report.running() + report.waiting();
        sentSinceReport = sentWithin(report.ageNanos(), nowNanos);
        endedSinceReport = 0;
        if (report.leaving()) {
            leaving = true;
        }
    }

    /** Returns the estimated number of requests at the upstream, those of other instances too. */
    int estimatedBusy() {
        int reported = reportedBusy + sentSinceReport - endedSinceReport;
        return reportedBusy < 0 ? inFlight : Math.max(inFlight, reported);
    }

    /** Returns the last reported number of requests, for a policy that looks at nothing else. */
    int reportedBusy() {
        return Math.max(0, reportedBusy);
    }

    /** Returns load per capacity after one more request; 1 means that all slots are in use. */
    double loadAfterOneMore(long nowNanos) {
        return (estimatedBusy() + 1) / (spec.slots() * health.capacityFactor(nowNanos));
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

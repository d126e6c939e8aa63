package org.fuchsialever.node.metering;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.hosted.FencedCalls;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Writes the counts of this process each second and, while it holds the role, reports windows that
 * have ended. A window is closed in the store before its counts are reported, so that a successor
 * reports the same ones.
 */
final class UsageReporter implements AutoCloseable {
    private static final String PART = "metering";

    /** The role under which windows are reported. */
    private static final String ROLE = "usage";

    private static final long INTERVAL_MILLIS = 1_000;

    /** Time after the end of a window until the counts of all instances are in the store. */
    private static final long SETTLE_MILLIS = 3_500;

    /** Windows that are still reported after an outage; older ones are overdue and skipped. */
    private static final long MAX_BACKLOG_WINDOWS = 20;

    private final WindowCounts mCounts;
    private final MeteringRows mRows;
    private final FencedCalls mDuties;
    private final Leases mLeases;
    private final TimeSource mTime;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final long mFirstWindow;
    private @Nullable Future<?> mTimer;
    private boolean mReporting;
    private long mNextWindow = -1;
    private long mActingFencing = -1;
    private long mRejectedFencing = -1;

    UsageReporter(
            WindowCounts counts,
            MeteringRows rows,
            FencedCalls duties,
            Leases leases,
            TimeSource time,
            TraceLog trace,
            MeterRegistry meters) {
        mCounts = counts;
        mRows = rows;
        mDuties = duties;
        mLeases = leases;
        mTime = time;
        mTrace = trace;
        mMeters = meters;
        mFirstWindow = counts.windowOf(time.wallMillis());
    }

    void start(EventLoop loop) {
        mLeases.request(ROLE, new RoleListener());
        mTimer =
                loop.scheduleAtFixedRate(
                        this::tick, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Writes the counts at once and releases the role. */
    void drain() {
        flush();
        mLeases.release(ROLE);
    }

    @Override
    public void close() {
        Future<?> running = mTimer;
        if (running != null) {
            running.cancel(false);
        }
        flush();
    }

    /** Writes new counts and reports the windows that have ended; called each second. */
    void tick() {
        flush();
        Option<HeldLease> lease = mLeases.held(ROLE);
        if (lease.isEmpty() || mReporting || lease.get().fencing() == mRejectedFencing) {
            return;
        }
        mReporting = true;
        report(lease.get().fencing())
                .doFinally(signal -> mReporting = false)
                .subscribe(
                        done -> {},
                        failure ->
                                mTrace.line(PART, "report-failed")
                                        .with("window", mNextWindow)
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write());
    }

    private void flush() {
        for (Map.Entry<Long, Map<String, Long>> window : mCounts.takeChanged().entrySet()) {
            mRows.write(window.getKey(), window.getValue())
                    .subscribe(
                            written -> {},
                            failure -> {
                                mMeters.counter("fuchsialever.metering.retries", "reason", "write")
                                        .increment();
                                mCounts.markChanged(window.getKey());
                            });
        }
        mCounts.removeBefore(mCounts.windowOf(mTime.wallMillis()) - MAX_BACKLOG_WINDOWS);
    }

    private Mono<Void> report(long fencing) {
        if (mActingFencing != fencing) {
            long current = mCounts.windowOf(mTime.wallMillis());
            long from = current - MAX_BACKLOG_WINDOWS;
            return mRows.lastClosed(from, current)
                    .flatMap(
                            last -> {
                                // The last closed window may not have been reported.
                                mNextWindow = last >= 0 ? last : Math.max(from, mFirstWindow);
                                mActingFencing = fencing;
                                return reportEnded(fencing);
                            });
        }
        return reportEnded(fencing);
    }

    private Mono<Void> reportEnded(long fencing) {
        long window = mNextWindow;
        if (mTime.wallMillis() < mCounts.endMillis(window) + SETTLE_MILLIS) {
            return Mono.empty();
        }
        return mRows.sum(window)
                .flatMap(sum -> mRows.close(window, sum))
                .flatMap(closedCounts -> send(window, closedCounts, fencing));
    }

    /** The store may have taken longer than the lease was valid, so it is checked again. */
    private Mono<Void> send(long window, Map<String, Long> closedCounts, long fencing) {
        boolean mayAct =
                mLeases.heldFor(ROLE, FencedCalls.TIME_LIMIT)
                        .exists(lease -> lease.fencing() == fencing);
        if (!mayAct) {
            mTrace.line(PART, "report-withheld")
                    .with("window", window)
                    .with("fencing", fencing)
                    .write();
            return Mono.empty();
        }
        return mDuties.reportUsage(window, closedCounts, fencing)
                .flatMap(result -> handleResult(window, closedCounts, fencing, result));
    }

    private Mono<Void> handleResult(
            long window, Map<String, Long> closedCounts, long fencing, FencedCalls.Result result) {
        mTrace.line(PART, "reported")
                .with("window", window)
                .with("counts", closedCounts.toString())
                .with("fencing", fencing)
                .with("answer", result.name())
                .write();
        mMeters.counter("fuchsialever.metering.reports", "answer", result.name()).increment();
        switch (result) {
            case ACCEPTED -> {
                mNextWindow = window + 1;
                return mRows.removeCounts(window - MAX_BACKLOG_WINDOWS)
                        .onErrorResume(
                                PlatformException.class,
                                failure -> {
                                    mTrace.line(PART, "counts-not-removed")
                                            .with("window", window - MAX_BACKLOG_WINDOWS)
                                            .with("reason", String.valueOf(failure.getMessage()))
                                            .write();
                                    return Mono.empty();
                                })
                        .then(Mono.defer(() -> reportEnded(fencing)));
            }
            case FENCED -> mRejectedFencing = fencing;
            case BUSY -> {}
        }
        return Mono.empty();
    }

    /** Logs changes of the role. */
    private final class RoleListener implements Leases.LeaseListener {
        @Override
        public void onAcquired(HeldLease lease) {
            mTrace.line(PART, "role-gained").with("fencing", lease.fencing()).write();
        }

        @Override
        public void onLost(String role) {
            mTrace.line(PART, "role-lost").write();
        }
    }
}

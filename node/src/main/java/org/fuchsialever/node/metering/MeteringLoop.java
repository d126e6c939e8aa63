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
import org.fuchsialever.services.hosted.FencedCalls;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Writes the counts of this process each second and, while it holds the role, reports windows that
 * have ended. The counts of a window are fixed in the store before they are reported, so that a
 * successor reports the same ones.
 */
final class MeteringLoop implements AutoCloseable {
    private static final String PART = "metering";

    /** The role under which windows are reported. */
    private static final String ROLE = "usage";

    private static final long INTERVAL_MILLIS = 1_000;

    /** Time after the end of a window until the counts of all instances are in the store. */
    private static final long SETTLE_MILLIS = 3_500;

    /** Windows that are still reported after an outage; older ones have long been due. */
    private static final long MOST_BACKLOG_WINDOWS = 20;

    private final WindowCounts counts;
    private final MeteringRows rows;
    private final FencedCalls duties;
    private final Leases leases;
    private final TimeSource time;
    private final long windowMillis;
    private final TraceLog trace;
    private final MeterRegistry meters;
    private final long firstWindow;
    private @Nullable Future<?> timer;
    private boolean reporting;
    private long nextWindow = -1;
    private long actingFencing = -1;
    private long fencedAt = -1;

    MeteringLoop(
            WindowCounts counts,
            MeteringRows rows,
            FencedCalls duties,
            Leases leases,
            TimeSource time,
            long windowMillis,
            TraceLog trace,
            MeterRegistry meters) {
        this.counts = counts;
        this.rows = rows;
        this.duties = duties;
        this.leases = leases;
        this.time = time;
        this.windowMillis = windowMillis;
        this.trace = trace;
        this.meters = meters;
        this.firstWindow = counts.windowOf(time.wallMillis());
    }

    void start(EventLoop loop) {
        leases.request(ROLE, new RoleListener());
        timer =
                loop.scheduleAtFixedRate(
                        this::tick, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Writes the counts at once and gives the role up. */
    void drain() {
        flush();
        leases.release(ROLE);
    }

    @Override
    public void close() {
        Future<?> running = timer;
        if (running != null) {
            running.cancel(false);
        }
        flush();
    }

    private void tick() {
        flush();
        Option<HeldLease> lease = leases.held(ROLE);
        if (lease.isEmpty() || reporting || lease.get().fencing() == fencedAt) {
            return;
        }
        reporting = true;
        report(lease.get().fencing())
                .doFinally(signal -> reporting = false)
                .subscribe(
                        done -> {},
                        failure ->
                                trace.line(PART, "report-failed")
                                        .with("window", nextWindow)
                                        .with("reason", String.valueOf(failure.getMessage()))
                                        .write());
    }

    private void flush() {
        for (Map.Entry<Long, Map<String, Long>> window : counts.takeChanged().entrySet()) {
            rows.write(window.getKey(), window.getValue())
                    .subscribe(
                            written -> {},
                            failure -> {
                                meters.counter("fuchsialever.metering.retries", "reason", "write")
                                        .increment();
                                counts.restore(window.getKey());
                            });
        }
        counts.forgetBefore(counts.windowOf(time.wallMillis()) - MOST_BACKLOG_WINDOWS);
    }

    private Mono<Void> report(long fencing) {
        if (actingFencing != fencing) {
            long from = counts.windowOf(time.wallMillis()) - MOST_BACKLOG_WINDOWS;
            return rows.lastFixed(from)
                    .flatMap(
                            last -> {
                                // The last fixed window may not have been reported.
                                nextWindow = last >= 0 ? last : Math.max(from, firstWindow);
                                actingFencing = fencing;
                                return reportEnded(fencing);
                            });
        }
        return reportEnded(fencing);
    }

    private Mono<Void> reportEnded(long fencing) {
        long window = nextWindow;
        long endMillis = (window + 1) * windowMillis;
        if (time.wallMillis() < endMillis + SETTLE_MILLIS) {
            return Mono.empty();
        }
        return rows.sum(window)
                .flatMap(sum -> rows.fix(window, sum))
                .flatMap(
                        fixed ->
                                duties.reportUsage(window, fixed, fencing)
                                        .flatMap(
                                                answer ->
                                                        answered(window, fixed, fencing, answer)));
    }

    private Mono<Void> answered(
            long window, Map<String, Long> fixed, long fencing, FencedCalls.Result answer) {
        trace.line(PART, "reported")
                .with("window", window)
                .with("counts", fixed.toString())
                .with("fencing", fencing)
                .with("answer", answer.name())
                .write();
        meters.counter("fuchsialever.metering.reports", "answer", answer.name()).increment();
        switch (answer) {
            case ACCEPTED -> {
                nextWindow = window + 1;
                return reportEnded(fencing);
            }
            case FENCED -> fencedAt = fencing;
            case BUSY -> {}
        }
        return Mono.empty();
    }

    /** Logs changes of the role. */
    private final class RoleListener implements Leases.LeaseListener {
        @Override
        public void onAcquired(HeldLease lease) {
            trace.line(PART, "role-gained").with("fencing", lease.fencing()).write();
        }

        @Override
        public void onLost(String role) {
            trace.line(PART, "role-lost").write();
        }
    }
}

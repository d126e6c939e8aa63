package org.fuchsialever.node.forward;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.domain.ShareChange;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.node.trace.TraceLog;

/** Shows operators how many calls leave the failure domain of the instance, and why. */
final class DomainTrace {
    private static final String PART = "forward";

    private final String mHome;
    private final TraceLog mTrace;
    private final MeterRegistry mMeters;
    private final Map<String, AtomicLong> mShares = new ConcurrentHashMap<>();

    DomainTrace(String home, TraceLog trace, MeterRegistry meters) {
        mHome = home;
        mTrace = trace;
        mMeters = meters;
    }

    /** Counts an attempt by whether its upstream runs in the failure domain of the instance. */
    void countAttempt(FleetUpstream upstream) {
        String relation = upstream.failureDomain().equals(mHome) ? "home" : "away";
        mMeters.counter(
                        "fuchsialever.forward.domain.attempts",
                        "relation",
                        relation,
                        "service",
                        upstream.service())
                .increment();
    }

    /** Sets the gauge of the share; writes a line when calls begin to leave or have returned. */
    void noteShare(ShareChange change) {
        mShares.computeIfAbsent(change.service(), this::gauge).set(percent(change.after()));
        if (change.isLeaving() || change.isReturned()) {
            mTrace.line(PART, change.isReturned() ? "domain-returned" : "domain-leaving")
                    .with("service", change.service())
                    .with("reason", change.reason().name())
                    .with("percentBefore", percent(change.before()))
                    .with("percent", percent(change.after()))
                    .with("homeWaitMicros", micros(change.homeWaitNanos()))
                    .with("awayWaitMicros", micros(change.awayWaitNanos()))
                    .write();
        }
    }

    private AtomicLong gauge(String service) {
        AtomicLong share = new AtomicLong();
        Gauge.builder("fuchsialever.forward.domain.leaving.percent", share, AtomicLong::get)
                .tag("service", service)
                .register(mMeters);
        return share;
    }

    private static long percent(double share) {
        return Math.round(100 * share);
    }

    private static long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }
}

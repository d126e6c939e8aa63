package org.fuchsialever.decisions.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Orders upstreams to load the weight versions that trainers announce, while this instance holds
 * the role. Each order is conditional on the number of orders that the upstream has accepted so
 * far, read just before, so that an order that arrives late cannot undo a newer one.
 */
public final class VersionDuty implements Duty<VersionEvent, VersionAction> {
    /** A load takes about 1 s; after this the upstream's report is read for the first time. */
    private static final long FIRST_CHECK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An order without effect after this time is abandoned and planned again. */
    private static final long ORDER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

    /** Delay before the next order to an upstream that refused one or sent no report. */
    private static final long REFUSAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<String, Long> announcedVersions = new HashMap<>();
    private final Map<String, Long> newestMinVersions = new HashMap<>();
    private final Map<String, Long> maxLags = new HashMap<>();
    private final Map<String, PendingLoad> pending = new HashMap<>();
    private final Map<String, Long> backoffUntil = new HashMap<>();
    private Map<String, List<String>> modelsByService = Map.of();
    private final Map<String, FleetUpstream> upstreams = new HashMap<>();
    private long fencing;
    private boolean holding;
    private long nextTimer = NO_TIMER;

    @Override
    public String dutyName() {
        return "version";
    }

    @Override
    public void onEvent(VersionEvent event, long nowNanos, ActionSink<VersionAction> actions) {
        if (event instanceof VersionEvent.FleetChanged changed) {
            fleetChanged(changed);
        } else if (event instanceof VersionEvent.VersionAnnounced version) {
            announcedVersions.merge(version.model(), version.version(), Math::max);
        } else if (event instanceof VersionEvent.MinVersionRequested requested) {
            minVersionRequested(requested);
        } else if (event instanceof VersionEvent.RoleAcquired acquired) {
            holding = true;
            fencing = acquired.fencing();
        } else if (event instanceof VersionEvent.RoleLost) {
            holding = false;
            pending.clear();
        } else if (event instanceof VersionEvent.Reported report) {
            reported(report, nowNanos, actions);
        } else if (event instanceof VersionEvent.ReportFailed failed) {
            abandon(failed.upstream(), nowNanos);
        } else if (event instanceof VersionEvent.OrderEnded ended) {
            orderEnded(ended, nowNanos);
        }
        plan(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<VersionAction> actions) {
        nextTimer = NO_TIMER;
        for (Map.Entry<String, PendingLoad> entry : List.copyOf(pending.entrySet())) {
            PendingLoad load = entry.getValue();
            if (nowNanos - load.since >= ORDER_TIMEOUT_NANOS) {
                abandon(entry.getKey(), nowNanos);
            } else if (load.checkAt <= nowNanos) {
                load.checkAt = NO_TIMER;
                actions.emit(new VersionAction.ReadReport(load.order.upstream()));
            }
        }
        backoffUntil.values().removeIf(until -> until <= nowNanos);
        plan(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        return nextTimer;
    }

    /** Derives how many versions behind the announced one the items of a model may run. */
    private void minVersionRequested(VersionEvent.MinVersionRequested requested) {
        long newest = requested.minVersion();
        if (newest >= newestMinVersions.getOrDefault(requested.model(), 0L)) {
            newestMinVersions.put(requested.model(), newest);
            maxLags.put(
                    requested.model(),
                    Math.max(
                            0, announcedVersions.getOrDefault(requested.model(), newest) - newest));
        }
    }

    private void fleetChanged(VersionEvent.FleetChanged changed) {
        modelsByService = changed.modelsByService();
        upstreams.clear();
        changed.upstreams().forEach(upstream -> upstreams.put(upstream.id(), upstream));
        pending.values()
                .removeIf(
                        load -> {
                            FleetUpstream now = upstreams.get(load.order.upstream().id());
                            return now == null || load.isDoneAt(now.versions());
                        });
    }

    private void reported(
            VersionEvent.Reported report, long now, ActionSink<VersionAction> actions) {
        FleetUpstream known = upstreams.get(report.upstream());
        if (known != null) {
            upstreams.put(known.id(), withVersions(known, report.versions()));
        }
        PendingLoad load = pending.get(report.upstream());
        if (load == null) {
            return;
        }
        if (load.isDoneAt(report.versions())) {
            pending.remove(report.upstream());
        } else if (report.busy() || load.ordered && report.sequence() > load.sequence) {
            load.checkAt = now + CHECK_INTERVAL_NANOS;
        } else if (!load.ordered && holding) {
            load.ordered = true;
            load.sequence = report.sequence();
            load.checkAt = now + FIRST_CHECK_DELAY_NANOS;
            actions.emit(new VersionAction.SendOrder(load.order, fencing, report.sequence()));
        } else {
            // No effect so far. If the order still arrives, its condition on the number protects.
            load.ordered = false;
            load.checkAt = now + CHECK_INTERVAL_NANOS;
        }
    }

    private void orderEnded(VersionEvent.OrderEnded ended, long now) {
        PendingLoad load = pending.get(ended.upstream());
        if (load == null) {
            return;
        }
        switch (ended.result()) {
            case MAY_BE_LOADING -> load.checkAt = now + FIRST_CHECK_DELAY_NANOS;
            case DONE -> {
                FleetUpstream known = upstreams.get(ended.upstream());
                if (known != null) {
                    Map<String, Long> versions = new HashMap<>(known.versions());
                    versions.put(load.order.model(), load.order.version());
                    upstreams.put(known.id(), withVersions(known, versions));
                }
                pending.remove(ended.upstream());
            }
            case OUTDATED -> {
                load.ordered = false;
                load.checkAt = now + CHECK_INTERVAL_NANOS;
            }
            case FENCED -> {
                holding = false;
                pending.clear();
            }
            case REFUSED -> abandon(ended.upstream(), now);
        }
    }

    private void abandon(String upstream, long now) {
        if (pending.remove(upstream) != null) {
            backoffUntil.put(upstream, now + REFUSAL_DELAY_NANOS);
        }
    }

    private void plan(long now, ActionSink<VersionAction> actions) {
        if (holding) {
            for (Map.Entry<String, List<String>> service : modelsByService.entrySet()) {
                planService(service.getKey(), service.getValue(), now, actions);
            }
        }
        long next = NO_TIMER;
        for (PendingLoad load : pending.values()) {
            next = Math.min(next, Math.min(load.checkAt, load.since + ORDER_TIMEOUT_NANOS));
        }
        for (long until : backoffUntil.values()) {
            next = Math.min(next, until);
        }
        nextTimer = next;
    }

    private void planService(
            String service, List<String> models, long now, ActionSink<VersionAction> actions) {
        List<FleetUpstream> serving = new ArrayList<>();
        for (FleetUpstream upstream : upstreams.values()) {
            boolean backingOff = backoffUntil.getOrDefault(upstream.id(), now) > now;
            if (upstream.service().equals(service) && upstream.serving() && !backingOff) {
                serving.add(upstream);
            }
        }
        Map<String, String> loading = new HashMap<>();
        pending.forEach((id, load) -> loading.put(id, load.order.model()));
        for (VersionOrder order :
                VersionPlanner.plan(
                        VersionPlanner.assign(models, serving),
                        announcedVersions,
                        maxLags,
                        loading,
                        serving.size())) {
            pending.put(order.upstream().id(), new PendingLoad(order, now));
            actions.emit(new VersionAction.ReadReport(order.upstream()));
        }
    }

    private static FleetUpstream withVersions(FleetUpstream known, Map<String, Long> versions) {
        return new FleetUpstream(
                known.id(),
                known.service(),
                known.host(),
                known.port(),
                known.failureDomain(),
                known.slots(),
                known.serving(),
                versions,
                known.startedMillis());
    }

    private static final class PendingLoad {
        private final VersionOrder order;
        private final long since;
        private boolean ordered;
        private long sequence;
        private long checkAt = NO_TIMER;

        PendingLoad(VersionOrder order, long since) {
            this.order = order;
            this.since = since;
        }

        boolean isDoneAt(Map<String, Long> versions) {
            return versions.getOrDefault(order.model(), 0L) >= order.version();
        }
    }
}

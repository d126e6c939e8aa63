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
 * Moves upstreams to the weight versions that trainers name, while this instance holds the role.
 * Before each order it reads how many orders the upstream has accepted and names that number, so
 * that an order that is carried out late cannot undo a newer one.
 */
public final class VersionDuty implements Duty<VersionEvent, VersionAction> {
    /** A load takes about 1 s; then the upstream is asked whether it has ended. */
    private static final long FIRST_CHECK = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long NEXT_CHECK = TimeUnit.MILLISECONDS.toNanos(500);

    /** An order that shows no effect after this time is planned again. */
    private static final long GIVE_UP = TimeUnit.MILLISECONDS.toNanos(4_000);

    /** Pause after an upstream refused an order or gave no report. */
    private static final long REFUSAL_PAUSE = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<String, Long> named = new HashMap<>();
    private final Map<String, Long> newestAsked = new HashMap<>();
    private final Map<String, Long> tolerated = new HashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Long> pausedUntil = new HashMap<>();
    private Map<String, List<String>> modelsByService = Map.of();
    private final Map<String, FleetUpstream> upstreams = new HashMap<>();
    private long fencing;
    private boolean holding;
    private long timer = NO_TIMER;

    @Override
    public String dutyName() {
        return "version";
    }

    @Override
    public void onEvent(VersionEvent event, long nowNanos, ActionSink<VersionAction> actions) {
        if (event instanceof VersionEvent.FleetChanged changed) {
            fleetChanged(changed);
        } else if (event instanceof VersionEvent.VersionAnnounced version) {
            named.merge(version.model(), version.version(), Math::max);
        } else if (event instanceof VersionEvent.MinVersionRequested asked) {
            asked(asked);
        } else if (event instanceof VersionEvent.RoleAcquired gained) {
            holding = true;
            fencing = gained.fencing();
        } else if (event instanceof VersionEvent.RoleLost) {
            holding = false;
            pending.clear();
        } else if (event instanceof VersionEvent.Reported report) {
            reported(report, nowNanos, actions);
        } else if (event instanceof VersionEvent.ReportFailed failed) {
            abandon(failed.upstream(), nowNanos);
        } else if (event instanceof VersionEvent.OrderEnded answered) {
            answered(answered, nowNanos);
        }
        plan(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<VersionAction> actions) {
        timer = NO_TIMER;
        for (Map.Entry<String, Pending> entry : List.copyOf(pending.entrySet())) {
            Pending load = entry.getValue();
            if (nowNanos - load.since >= GIVE_UP) {
                abandon(entry.getKey(), nowNanos);
            } else if (load.checkAt <= nowNanos) {
                load.checkAt = NO_TIMER;
                actions.emit(new VersionAction.ReadReport(load.order.upstream()));
            }
        }
        pausedUntil.values().removeIf(until -> until <= nowNanos);
        plan(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        return timer;
    }

    /** Learns how far behind the named version the items of a model may run. */
    private void asked(VersionEvent.MinVersionRequested asked) {
        long newest = asked.minVersion();
        if (newest >= newestAsked.getOrDefault(asked.model(), 0L)) {
            newestAsked.put(asked.model(), newest);
            tolerated.put(
                    asked.model(), Math.max(0, named.getOrDefault(asked.model(), newest) - newest));
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
        Pending load = pending.get(report.upstream());
        if (load == null) {
            return;
        }
        if (load.isDoneAt(report.versions())) {
            pending.remove(report.upstream());
        } else if (report.busy() || load.ordered && report.sequence() > load.sequence) {
            load.checkAt = now + NEXT_CHECK;
        } else if (!load.ordered && holding) {
            load.ordered = true;
            load.sequence = report.sequence();
            load.checkAt = now + FIRST_CHECK;
            actions.emit(new VersionAction.SendOrder(load.order, fencing, report.sequence()));
        } else {
            // The order had no effect so far; it may still be carried out, under the old number.
            load.ordered = false;
            load.checkAt = now + NEXT_CHECK;
        }
    }

    private void answered(VersionEvent.OrderEnded answered, long now) {
        Pending load = pending.get(answered.upstream());
        if (load == null) {
            return;
        }
        switch (answered.result()) {
            case MAY_BE_LOADING -> load.checkAt = now + FIRST_CHECK;
            case DONE -> {
                FleetUpstream known = upstreams.get(answered.upstream());
                if (known != null) {
                    Map<String, Long> versions = new HashMap<>(known.versions());
                    versions.put(load.order.model(), load.order.version());
                    upstreams.put(known.id(), withVersions(known, versions));
                }
                pending.remove(answered.upstream());
            }
            case OUTDATED -> {
                load.ordered = false;
                load.checkAt = now + NEXT_CHECK;
            }
            case FENCED -> {
                holding = false;
                pending.clear();
            }
            case REFUSED -> abandon(answered.upstream(), now);
        }
    }

    private void abandon(String upstream, long now) {
        if (pending.remove(upstream) != null) {
            pausedUntil.put(upstream, now + REFUSAL_PAUSE);
        }
    }

    private void plan(long now, ActionSink<VersionAction> actions) {
        if (holding) {
            for (Map.Entry<String, List<String>> service : modelsByService.entrySet()) {
                planService(service.getKey(), service.getValue(), now, actions);
            }
        }
        long next = NO_TIMER;
        for (Pending load : pending.values()) {
            next = Math.min(next, Math.min(load.checkAt, load.since + GIVE_UP));
        }
        for (long until : pausedUntil.values()) {
            next = Math.min(next, until);
        }
        timer = next;
    }

    private void planService(
            String service, List<String> models, long now, ActionSink<VersionAction> actions) {
        List<FleetUpstream> serving = new ArrayList<>();
        for (FleetUpstream upstream : upstreams.values()) {
            boolean paused = pausedUntil.getOrDefault(upstream.id(), now) > now;
            if (upstream.service().equals(service) && upstream.serving() && !paused) {
                serving.add(upstream);
            }
        }
        Map<String, String> loading = new HashMap<>();
        pending.forEach((id, load) -> loading.put(id, load.order.model()));
        for (VersionOrder order :
                VersionPlanner.plan(
                        VersionPlanner.assign(models, serving),
                        named,
                        tolerated,
                        loading,
                        serving.size())) {
            pending.put(order.upstream().id(), new Pending(order, now));
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

    private static final class Pending {
        private final VersionOrder order;
        private final long since;
        private boolean ordered;
        private long sequence;
        private long checkAt = NO_TIMER;

        Pending(VersionOrder order, long since) {
            this.order = order;
            this.since = since;
        }

        boolean isDoneAt(Map<String, Long> versions) {
            return versions.getOrDefault(order.model(), 0L) >= order.version();
        }
    }
}

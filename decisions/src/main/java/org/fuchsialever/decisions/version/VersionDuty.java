package org.fuchsialever.decisions.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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

    private final Map<String, Long> mAnnouncedVersions = new HashMap<>();
    private final Map<String, Long> mNewestMinVersions = new HashMap<>();
    private final Map<String, Long> mMaxLags = new HashMap<>();
    private final Map<String, PendingLoad> mPending = new HashMap<>();
    private final Map<String, Long> mBackoffUntil = new HashMap<>();
    private final EngineAssignment mAssignment;
    private final Set<String> mReportingServices = new HashSet<>();
    private final ModelDemand mDemand = new ModelDemand();
    private final EngineSpeeds mSpeeds = new EngineSpeeds();
    private final Map<String, EngineShares> mShares = new HashMap<>();
    private final Map<String, Map<String, Integer>> mNotedShares = new HashMap<>();
    private Map<String, List<String>> mModelsByService = Map.of();
    private final Map<String, FleetUpstream> mUpstreams = new HashMap<>();
    private long mFencing;
    private boolean mHolding;
    private long mNextTimer = NO_TIMER;

    /** Creates a duty that knows no upstreams and does not hold the role. */
    public VersionDuty(EngineAssignment assignment) {
        mAssignment = assignment;
    }

    @Override
    public String dutyName() {
        return "version";
    }

    @Override
    public void onEvent(VersionEvent event, long nowNanos, ActionSink<VersionAction> actions) {
        if (event instanceof VersionEvent.FleetChanged changed) {
            fleetChanged(changed);
        } else if (event instanceof VersionEvent.VersionAnnounced version) {
            mAnnouncedVersions.merge(version.model(), version.version(), Math::max);
        } else if (event instanceof VersionEvent.MinVersionRequested requested) {
            minVersionRequested(requested);
        } else if (event instanceof VersionEvent.RoleAcquired acquired) {
            mHolding = true;
            mFencing = acquired.fencing();
        } else if (event instanceof VersionEvent.RoleLost) {
            mHolding = false;
            mPending.clear();
            forgetShares(actions);
        } else if (event instanceof VersionEvent.SubmissionsChanged submissions) {
            mDemand.update(submissions.changed(), submissions.removed(), nowNanos);
        } else if (event instanceof VersionEvent.SlowdownReported slowdown) {
            mReportingServices.add(slowdown.service());
        } else if (event instanceof VersionEvent.SpeedsReported speeds) {
            mSpeeds.report(speeds.instance(), speeds.speedPercents(), nowNanos);
        } else if (event instanceof VersionEvent.Reported report) {
            reported(report, nowNanos, actions);
        } else if (event instanceof VersionEvent.ReportFailed failed) {
            abandon(failed.upstream(), nowNanos);
        } else if (event instanceof VersionEvent.OrderEnded ended) {
            orderEnded(ended, nowNanos, actions);
        }
        plan(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<VersionAction> actions) {
        mNextTimer = NO_TIMER;
        for (Map.Entry<String, PendingLoad> entry : List.copyOf(mPending.entrySet())) {
            PendingLoad load = entry.getValue();
            if (nowNanos - load.mSince >= ORDER_TIMEOUT_NANOS) {
                abandon(entry.getKey(), nowNanos);
            } else if (load.mCheckAt <= nowNanos) {
                load.mCheckAt = NO_TIMER;
                actions.emit(new VersionAction.ReadReport(load.mOrder.upstream()));
            }
        }
        mBackoffUntil.values().removeIf(until -> until <= nowNanos);
        plan(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        return mNextTimer;
    }

    /** Derives how many versions behind the announced one the items of a model may run. */
    private void minVersionRequested(VersionEvent.MinVersionRequested requested) {
        long newest = requested.minVersion();
        if (newest >= mNewestMinVersions.getOrDefault(requested.model(), 0L)) {
            mNewestMinVersions.put(requested.model(), newest);
            mMaxLags.put(
                    requested.model(),
                    Math.max(
                            0,
                            mAnnouncedVersions.getOrDefault(requested.model(), newest) - newest));
        }
    }

    private void fleetChanged(VersionEvent.FleetChanged changed) {
        mModelsByService = changed.modelsByService();
        mUpstreams.clear();
        changed.upstreams().forEach(upstream -> mUpstreams.put(upstream.id(), upstream));
        mPending.values()
                .removeIf(
                        load -> {
                            FleetUpstream now = mUpstreams.get(load.mOrder.upstream().id());
                            return now == null || load.isDoneAt(now.versions());
                        });
    }

    private void reported(
            VersionEvent.Reported report, long now, ActionSink<VersionAction> actions) {
        FleetUpstream known = mUpstreams.get(report.upstream());
        if (known != null) {
            mUpstreams.put(known.id(), withVersions(known, report.versions()));
        }
        PendingLoad load = mPending.get(report.upstream());
        if (load == null) {
            return;
        }
        if (load.isDoneAt(report.versions())) {
            mPending.remove(report.upstream());
        } else if (report.busy() || load.mOrdered && report.sequence() > load.mSequence) {
            load.mCheckAt = now + CHECK_INTERVAL_NANOS;
        } else if (!load.mOrdered && mHolding) {
            load.mOrdered = true;
            load.mSequence = report.sequence();
            load.mCheckAt = now + FIRST_CHECK_DELAY_NANOS;
            actions.emit(new VersionAction.SendOrder(load.mOrder, mFencing, report.sequence()));
        } else {
            // No effect so far. If the order still arrives, its condition on the number protects.
            load.mOrdered = false;
            load.mCheckAt = now + CHECK_INTERVAL_NANOS;
        }
    }

    private void orderEnded(
            VersionEvent.OrderEnded ended, long now, ActionSink<VersionAction> actions) {
        PendingLoad load = mPending.get(ended.upstream());
        if (load == null) {
            return;
        }
        switch (ended.result()) {
            case MAY_BE_LOADING -> load.mCheckAt = now + FIRST_CHECK_DELAY_NANOS;
            case DONE -> {
                FleetUpstream known = mUpstreams.get(ended.upstream());
                if (known != null) {
                    Map<String, Long> versions = new HashMap<>(known.versions());
                    versions.put(load.mOrder.model(), load.mOrder.version());
                    mUpstreams.put(known.id(), withVersions(known, versions));
                }
                mPending.remove(ended.upstream());
            }
            case OUTDATED -> {
                load.mOrdered = false;
                load.mCheckAt = now + CHECK_INTERVAL_NANOS;
            }
            case FENCED -> {
                mHolding = false;
                mPending.clear();
                forgetShares(actions);
            }
            case REFUSED -> abandon(ended.upstream(), now);
        }
    }

    /** The next holder decides on the shares; this one starts from the versions served then. */
    private void forgetShares(ActionSink<VersionAction> actions) {
        mShares.clear();
        if (!mNotedShares.isEmpty()) {
            mNotedShares.clear();
            actions.emit(new VersionAction.ForgetShares());
        }
    }

    private void abandon(String upstream, long now) {
        if (mPending.remove(upstream) != null) {
            mBackoffUntil.put(upstream, now + REFUSAL_DELAY_NANOS);
        }
    }

    private void plan(long now, ActionSink<VersionAction> actions) {
        if (mHolding) {
            for (Map.Entry<String, List<String>> service : mModelsByService.entrySet()) {
                planService(service.getKey(), service.getValue(), now, actions);
            }
        }
        long next = NO_TIMER;
        for (PendingLoad load : mPending.values()) {
            next = Math.min(next, Math.min(load.mCheckAt, load.mSince + ORDER_TIMEOUT_NANOS));
        }
        for (long until : mBackoffUntil.values()) {
            next = Math.min(next, until);
        }
        if (mHolding) {
            for (EngineShares shares : mShares.values()) {
                next = Math.min(next, shares.nextTimerNanos(now));
            }
        }
        mNextTimer = next;
    }

    private void planService(
            String service, List<String> models, long now, ActionSink<VersionAction> actions) {
        List<FleetUpstream> listed = new ArrayList<>();
        for (FleetUpstream upstream : mUpstreams.values()) {
            if (upstream.service().equals(service) && upstream.serving()) {
                listed.add(upstream);
            }
        }
        Set<String> backingOff = new HashSet<>();
        mBackoffUntil.forEach(
                (id, until) -> {
                    if (until > now) {
                        backingOff.add(id);
                    }
                });
        List<FleetUpstream> ready =
                listed.stream().filter(upstream -> !backingOff.contains(upstream.id())).toList();
        Map<String, List<FleetUpstream>> assigned =
                goesByNeed(service) && listed.size() >= models.size()
                        ? assignByNeed(service, models, listed, backingOff, now, actions)
                        : VersionPlanner.assign(models, ready);
        Map<String, String> loading = new HashMap<>();
        mPending.forEach((id, load) -> loading.put(id, load.mOrder.model()));
        for (VersionOrder order :
                VersionPlanner.plan(
                        assigned, mAnnouncedVersions, mMaxLags, loading, ready.size())) {
            mPending.put(order.upstream().id(), new PendingLoad(order, now));
            actions.emit(new VersionAction.ReadReport(order.upstream()));
        }
    }

    private boolean goesByNeed(String service) {
        return mAssignment.goesByNeed(mReportingServices.contains(service));
    }

    /** An upstream that backs off keeps its model, but is ordered nothing. */
    private Map<String, List<FleetUpstream>> assignByNeed(
            String service,
            List<String> models,
            List<FleetUpstream> listed,
            Set<String> backingOff,
            long now,
            ActionSink<VersionAction> actions) {
        Map<String, Double> demand = mDemand.of(models, now);
        ShareInputs inputs =
                new ShareInputs(
                        models, demand, listed, mSpeeds.speeds(now), mAnnouncedVersions, mMaxLags);
        Map<String, List<FleetUpstream>> assigned =
                mShares.computeIfAbsent(service, name -> new EngineShares()).assign(inputs, now);
        noteShares(service, assigned, demand, actions);
        Map<String, List<FleetUpstream>> ready = new TreeMap<>();
        assigned.forEach(
                (model, engines) ->
                        ready.put(
                                model,
                                engines.stream()
                                        .filter(engine -> !backingOff.contains(engine.id()))
                                        .toList()));
        return ready;
    }

    private void noteShares(
            String service,
            Map<String, List<FleetUpstream>> assigned,
            Map<String, Double> demand,
            ActionSink<VersionAction> actions) {
        Map<String, Integer> counts = new HashMap<>();
        Map<String, VersionAction.EngineShare> shares = new HashMap<>();
        assigned.forEach(
                (model, engines) -> {
                    counts.put(model, engines.size());
                    shares.put(
                            model,
                            new VersionAction.EngineShare(
                                    engines.size(), demand.getOrDefault(model, 0.0)));
                });
        if (!counts.equals(mNotedShares.put(service, counts))) {
            actions.emit(new VersionAction.NoteShares(service, shares));
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
        private final VersionOrder mOrder;
        private final long mSince;
        private boolean mOrdered;
        private long mSequence;
        private long mCheckAt = NO_TIMER;

        PendingLoad(VersionOrder order, long since) {
            mOrder = order;
            mSince = since;
        }

        boolean isDoneAt(Map<String, Long> versions) {
            return versions.getOrDefault(mOrder.model(), 0L) >= mOrder.version();
        }
    }
}

package org.fuchsialever.benchmarks.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.Pool;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchDuty;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.dispatch.DispatchSettings;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** Several dispatch duties in front of one pool of engine models. */
final class Scenario {
    private static final PoolName POOL = new PoolName("pool");
    private static final int DOMAINS = 3;
    private static final int QUEUE_CAPACITY = 1_000_000;

    private final Agenda mAgenda = new Agenda();
    private final List<EngineModel> mEngines = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final Map<UpstreamId, EngineModel> mEngineById = new HashMap<>();
    private final Map<TeamName, Long> mServedTokens = new HashMap<>();
    private final Map<RefusalReason, Integer> mRefusals = new HashMap<>();
    private final Histogram mFirstBytes = new Histogram(3_600_000_000L, 3);
    private final Duration mDeadline;
    private long mMeasureFrom;
    private int mGoodput;
    private int mLate;
    private int mSequence;

    Scenario(
            long seed,
            int instanceCount,
            int engineCount,
            int slots,
            Duration tokenTime,
            Duration deadline,
            String policy) {
        mDeadline = deadline;
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            UpstreamSpec spec = spec(i, slots);
            specs.add(spec);
            EngineModel engine = new EngineModel(mAgenda, spec, tokenTime.toNanos(), 64);
            mEngines.add(engine);
            mEngineById.put(spec.id(), engine);
        }
        Pool pool = new Pool(POOL, UpstreamKind.ENGINE, "m", policy, 0, engineCount, specs);
        ConfigSnapshot snapshot = new ConfigSnapshot(1, Map.of(), Map.of(POOL, pool), Map.of());
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int i = 0; i < instanceCount; i++) {
            Instance instance = new Instance(i, seeds.split());
            mInstances.add(instance);
            instance.send(new DispatchEvent.ConfigChanged(snapshot));
        }
    }

    Agenda agenda() {
        return mAgenda;
    }

    List<EngineModel> engines() {
        return mEngines;
    }

    /** Lets every engine report its load to every instance at an interval, late by the lag. */
    void reportLoads(Duration interval, Duration lag) {
        for (EngineModel engine : mEngines) {
            mAgenda.after(
                    interval.toNanos() * (mEngines.indexOf(engine) + 1) / mEngines.size(),
                    () -> report(engine, interval, lag));
        }
    }

    void measureFrom(long nanos) {
        mMeasureFrom = nanos;
    }

    void arrive(int instance, TeamName team, long prefix, int promptTokens, int tokens) {
        mInstances.get(instance).arrive(team, prefix, promptTokens, tokens);
    }

    Histogram firstBytes() {
        return mFirstBytes;
    }

    Map<TeamName, Long> servedTokens() {
        return mServedTokens;
    }

    Map<RefusalReason, Integer> refusals() {
        return mRefusals;
    }

    /** Returns the number of requests that were completed within their deadline. */
    int goodput() {
        return mGoodput;
    }

    /** Returns the number of requests that were completed after their deadline. */
    int late() {
        return mLate;
    }

    private void report(EngineModel engine, Duration interval, Duration lag) {
        var report = engine.report(lag.toNanos());
        mAgenda.after(
                lag.toNanos(),
                () -> {
                    for (Instance instance : mInstances) {
                        instance.send(new DispatchEvent.LoadReported(engine.spec().id(), report));
                    }
                });
        mAgenda.after(interval.toNanos(), () -> report(engine, interval, lag));
    }

    private static UpstreamSpec spec(int number, int slots) {
        return new UpstreamSpec(
                new UpstreamId("u" + number),
                POOL,
                "127.0.0.1",
                1,
                new FailureDomain("fd-" + number % DOMAINS),
                CapacityKind.REGULAR,
                slots,
                Fencing.IGNORED,
                UpstreamState.SERVING);
    }

    private final class Instance {
        private final String mName;
        private final DispatchDuty mDuty;
        private final Map<RequestId, Arrival> mArrivals = new HashMap<>();
        private final Map<RequestId, Running> mRunning = new HashMap<>();
        private final Route mRoute;
        private long mTimerAt = Long.MAX_VALUE;

        private Instance(int number, SplittableRandom random) {
            mName = "n" + number;
            mDuty =
                    new DispatchDuty(
                            DispatchSettings.standard(
                                            new InstanceId(mName),
                                            new FailureDomain("fd-" + number % DOMAINS))
                                    .withQueueCapacity(QUEUE_CAPACITY),
                            random,
                            InvariantMonitor.throwing());
            mRoute =
                    new Route(
                            new RouteName("route"),
                            "/r",
                            RouteKind.LIVE,
                            POOL,
                            Access.OPEN,
                            Set.of(),
                            true,
                            Priority.LIVE,
                            mDeadline,
                            1024);
        }

        private void arrive(TeamName team, long prefix, int promptTokens, int tokens) {
            RequestId id = new RequestId("r" + mSequence++);
            mArrivals.put(id, new Arrival(team, prefix, promptTokens, tokens, mAgenda.now()));
            send(
                    new DispatchEvent.RequestArrived(
                            new DispatchRequest(
                                    id,
                                    team,
                                    mRoute,
                                    promptTokens,
                                    4 * tokens,
                                    prefix,
                                    false,
                                    0,
                                    mAgenda.now() + mDeadline.toNanos())));
        }

        private void send(DispatchEvent event) {
            mDuty.onEvent(event, mAgenda.now(), this::act);
            setTimer();
        }

        private void setTimer() {
            long next = mDuty.nextTimerNanos();
            if (next < mTimerAt) {
                mTimerAt = next;
                mAgenda.at(next, this::runTimer);
            }
        }

        private void runTimer() {
            mTimerAt = Long.MAX_VALUE;
            if (mDuty.nextTimerNanos() <= mAgenda.now()) {
                mDuty.onTimer(mAgenda.now(), this::act);
            }
            setTimer();
        }

        private void act(DispatchAction action) {
            if (action instanceof DispatchAction.StartAttempt start) {
                // The engine answers in a later event, since a duty must not be re-entered.
                mAgenda.after(0, () -> submit(start));
            } else if (action instanceof DispatchAction.CancelAttempt cancel) {
                mAgenda.after(0, () -> cancel(cancel.request()));
            } else if (action instanceof DispatchAction.Refuse refuse) {
                mArrivals.remove(refuse.request());
                if (mAgenda.now() >= mMeasureFrom) {
                    mRefusals.merge(refuse.reason(), 1, Integer::sum);
                }
            } else if (action instanceof DispatchAction.PublishShares shares) {
                publish(shares);
            }
        }

        private void submit(DispatchAction.StartAttempt start) {
            Arrival arrival = mArrivals.get(start.request());
            EngineModel engine = mEngineById.get(start.upstream().id());
            if (arrival != null && engine != null) {
                EngineModel.Job job =
                        engine.submit(
                                arrival.prefix,
                                arrival.promptTokens,
                                arrival.tokens,
                                report -> end(start, arrival, report));
                mRunning.put(start.request(), new Running(engine, job));
            }
        }

        private void cancel(RequestId request) {
            Running work = mRunning.remove(request);
            if (work != null) {
                work.engine.cancel(work.job);
            }
        }

        private void publish(DispatchAction.PublishShares shares) {
            mAgenda.after(
                    Duration.ofMillis(2).toNanos(),
                    () -> {
                        for (Instance other : mInstances) {
                            if (other != this) {
                                other.send(
                                        new DispatchEvent.SharesReceived(
                                                mName, shares.pool(), shares.costs()));
                            }
                        }
                    });
        }

        private void end(DispatchAction.StartAttempt start, Arrival arrival, AttemptReport report) {
            mRunning.remove(start.request());
            if (mArrivals.remove(start.request()) != null && mAgenda.now() >= mMeasureFrom) {
                long waited = mAgenda.now() - report.totalNanos() - arrival.at;
                mFirstBytes.recordValue((waited + report.firstByteNanos()) / 1000);
                mServedTokens.merge(
                        arrival.team, (long) arrival.promptTokens + arrival.tokens, Long::sum);
                boolean inTime = mAgenda.now() <= arrival.at + mDeadline.toNanos();
                mGoodput += inTime ? 1 : 0;
                mLate += inTime ? 0 : 1;
            }
            send(new DispatchEvent.AttemptEnded(start.request(), start.attempt(), report));
        }
    }

    private record Running(EngineModel engine, EngineModel.Job job) {}

    private record Arrival(TeamName team, long prefix, int promptTokens, int tokens, long at) {}
}

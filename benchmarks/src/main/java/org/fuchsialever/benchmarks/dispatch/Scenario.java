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

    private final Agenda agenda = new Agenda();
    private final List<EngineModel> engines = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<UpstreamId, EngineModel> engineById = new HashMap<>();
    private final Map<TeamName, Long> servedTokens = new HashMap<>();
    private final Map<RefusalReason, Integer> refusals = new HashMap<>();
    private final Histogram firstBytes = new Histogram(3_600_000_000L, 3);
    private final Duration deadline;
    private long measureFrom;
    private int goodput;
    private int late;
    private int sequence;

    Scenario(
            long seed,
            int instanceCount,
            int engineCount,
            int slots,
            Duration tokenTime,
            Duration deadline,
            String policy) {
        this.deadline = deadline;
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            UpstreamSpec spec = spec(i, slots);
            specs.add(spec);
            EngineModel engine = new EngineModel(agenda, spec, tokenTime.toNanos(), 64);
            engines.add(engine);
            engineById.put(spec.id(), engine);
        }
        Pool pool = new Pool(POOL, UpstreamKind.ENGINE, "m", policy, 0, engineCount, specs);
        ConfigSnapshot snapshot = new ConfigSnapshot(1, Map.of(), Map.of(POOL, pool), Map.of());
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int i = 0; i < instanceCount; i++) {
            Instance instance = new Instance(i, seeds.split());
            instances.add(instance);
            instance.send(new DispatchEvent.ConfigChanged(snapshot));
        }
    }

    Agenda agenda() {
        return agenda;
    }

    List<EngineModel> engines() {
        return engines;
    }

    /** Lets every engine report its load to every instance at an interval, late by the lag. */
    void reportLoads(Duration interval, Duration lag) {
        for (EngineModel engine : engines) {
            agenda.after(
                    interval.toNanos() * (engines.indexOf(engine) + 1) / engines.size(),
                    () -> report(engine, interval, lag));
        }
    }

    void measureFrom(long nanos) {
        measureFrom = nanos;
    }

    void arrive(int instance, TeamName team, long prefix, int promptTokens, int tokens) {
        instances.get(instance).arrive(team, prefix, promptTokens, tokens);
    }

    Histogram firstBytes() {
        return firstBytes;
    }

    Map<TeamName, Long> servedTokens() {
        return servedTokens;
    }

    Map<RefusalReason, Integer> refusals() {
        return refusals;
    }

    /** Returns the number of requests that were completed within their deadline. */
    int goodput() {
        return goodput;
    }

    /** Returns the number of requests that were completed after their deadline. */
    int late() {
        return late;
    }

    private void report(EngineModel engine, Duration interval, Duration lag) {
        var report = engine.report(lag.toNanos());
        agenda.after(
                lag.toNanos(),
                () -> {
                    for (Instance instance : instances) {
                        instance.send(new DispatchEvent.LoadReported(engine.spec().id(), report));
                    }
                });
        agenda.after(interval.toNanos(), () -> report(engine, interval, lag));
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
        private final String name;
        private final DispatchDuty duty;
        private final Map<RequestId, Arrival> arrivals = new HashMap<>();
        private final Map<RequestId, Running> running = new HashMap<>();
        private final Route route;
        private long timerAt = Long.MAX_VALUE;

        private Instance(int number, SplittableRandom random) {
            name = "n" + number;
            duty =
                    new DispatchDuty(
                            DispatchSettings.standard(
                                            new InstanceId(name),
                                            new FailureDomain("fd-" + number % DOMAINS))
                                    .withQueueCapacity(QUEUE_CAPACITY),
                            random,
                            InvariantMonitor.throwing());
            route =
                    new Route(
                            new RouteName("route"),
                            "/r",
                            RouteKind.LIVE,
                            POOL,
                            Access.OPEN,
                            Set.of(),
                            true,
                            Priority.LIVE,
                            deadline,
                            1024);
        }

        private void arrive(TeamName team, long prefix, int promptTokens, int tokens) {
            RequestId id = new RequestId("r" + sequence++);
            arrivals.put(id, new Arrival(team, prefix, promptTokens, tokens, agenda.now()));
            send(
                    new DispatchEvent.RequestArrived(
                            new DispatchRequest(
                                    id,
                                    team,
                                    route,
                                    promptTokens,
                                    4 * tokens,
                                    prefix,
                                    false,
                                    0,
                                    agenda.now() + deadline.toNanos())));
        }

        private void send(DispatchEvent event) {
            duty.onEvent(event, agenda.now(), this::act);
            setTimer();
        }

        private void setTimer() {
            long next = duty.nextTimerNanos();
            if (next < timerAt) {
                timerAt = next;
                agenda.at(next, this::runTimer);
            }
        }

        private void runTimer() {
            timerAt = Long.MAX_VALUE;
            if (duty.nextTimerNanos() <= agenda.now()) {
                duty.onTimer(agenda.now(), this::act);
            }
            setTimer();
        }

        private void act(DispatchAction action) {
            if (action instanceof DispatchAction.StartAttempt start) {
                // The engine answers in a later event, since a duty must not be re-entered.
                agenda.after(0, () -> submit(start));
            } else if (action instanceof DispatchAction.CancelAttempt cancel) {
                agenda.after(0, () -> cancel(cancel.request()));
            } else if (action instanceof DispatchAction.Refuse refuse) {
                arrivals.remove(refuse.request());
                if (agenda.now() >= measureFrom) {
                    refusals.merge(refuse.reason(), 1, Integer::sum);
                }
            } else if (action instanceof DispatchAction.PublishShares shares) {
                publish(shares);
            }
        }

        private void submit(DispatchAction.StartAttempt start) {
            Arrival arrival = arrivals.get(start.request());
            EngineModel engine = engineById.get(start.upstream().id());
            if (arrival != null && engine != null) {
                EngineModel.Job job =
                        engine.submit(
                                arrival.prefix,
                                arrival.promptTokens,
                                arrival.tokens,
                                report -> end(start, arrival, report));
                running.put(start.request(), new Running(engine, job));
            }
        }

        private void cancel(RequestId request) {
            Running work = running.remove(request);
            if (work != null) {
                work.engine.cancel(work.job);
            }
        }

        private void publish(DispatchAction.PublishShares shares) {
            agenda.after(
                    Duration.ofMillis(2).toNanos(),
                    () -> {
                        for (Instance other : instances) {
                            if (other != this) {
                                other.send(
                                        new DispatchEvent.SharesReceived(
                                                name, shares.pool(), shares.costs()));
                            }
                        }
                    });
        }

        private void end(DispatchAction.StartAttempt start, Arrival arrival, AttemptReport report) {
            running.remove(start.request());
            if (arrivals.remove(start.request()) != null && agenda.now() >= measureFrom) {
                long waited = agenda.now() - report.totalNanos() - arrival.at;
                firstBytes.recordValue((waited + report.firstByteNanos()) / 1000);
                servedTokens.merge(
                        arrival.team, (long) arrival.promptTokens + arrival.tokens, Long::sum);
                boolean inTime = agenda.now() <= arrival.at + deadline.toNanos();
                goodput += inTime ? 1 : 0;
                late += inTime ? 0 : 1;
            }
            send(new DispatchEvent.AttemptEnded(start.request(), start.attempt(), report));
        }
    }

    private record Running(EngineModel engine, EngineModel.Job job) {}

    private record Arrival(TeamName team, long prefix, int promptTokens, int tokens, long at) {}
}

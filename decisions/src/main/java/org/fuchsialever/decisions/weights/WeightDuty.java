package org.fuchsialever.decisions.weights;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentMachine;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.decisions.weights.EngineState.Phase;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Brings the engines of one model to the newest weights while it holds the role {@code
 * weights/<model>}. Only the version that an engine reports decides whether a load succeeded.
 */
public final class WeightDuty implements Duty<WeightEvent, WeightAction> {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long READ_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Part of the rate of the weight store that is used. Orders go out in groups, with each write
     * of the journal, so that one second can hold the groups of up to 1.25 s.
     */
    private static final double USED_RATE = 0.8;

    /** A version is given up only if at least this part of the engines that tried it failed. */
    private static final double FAILED_SHARE = 0.2;

    private final String model;
    private final RollingUpdateLimits limits;
    private final IntentMachine<LoadCommand> intents;
    private final Map<UpstreamId, TrackedEngine> engines = new LinkedHashMap<>();
    private final Set<WeightVersion> givenUp = new HashSet<>();
    private final Map<WeightVersion, Set<UpstreamId>> failed = new HashMap<>();

    private Option<WeightVersion> latest = Option.none();
    private long nextStepAt;
    private long nextReadAt;
    private double allowance;
    private long allowanceAt;

    /**
     * Creates the duty.
     *
     * @param model the model
     * @param limits limits of a rollout
     * @param timing periods of the intents
     * @param random source of the jitter
     * @param startNanos monotonic time of the first step in nanoseconds
     * @param invariants receives the result of checks
     */
    public WeightDuty(
            String model,
            RollingUpdateLimits limits,
            IntentTiming timing,
            RandomGenerator random,
            long startNanos,
            InvariantMonitor invariants) {
        this.model = model;
        this.limits = limits;
        this.intents = new IntentMachine<>(roleOf(model), timing, random, invariants);
        this.nextStepAt = startNanos;
        this.nextReadAt = startNanos;
        this.allowanceAt = startNanos;
    }

    /** Returns the role under which the weights of a model are changed. */
    public static String roleOf(String model) {
        return "weights/" + model;
    }

    @Override
    public String dutyName() {
        return "weights-" + model;
    }

    @Override
    public void onEvent(WeightEvent event, long nowNanos, ActionSink<WeightAction> actions) {
        if (event instanceof WeightEvent.RoleEvent role) {
            intents.onEvent(role.event(), nowNanos, intentSink(nowNanos, actions));
        } else if (event instanceof WeightEvent.LatestVersionRead read) {
            latest = Option.some(latest.fold(read::version, seen -> max(seen, read.version())));
        } else if (event instanceof WeightEvent.EnginesChanged changed) {
            onEngines(changed.engines());
        } else if (event instanceof WeightEvent.VersionReported report) {
            Option.of(engines.get(report.upstream()))
                    .forEach(engine -> engine.report(report.version(), report.startId(), nowNanos));
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<WeightAction> actions) {
        intents.onTimer(nowNanos, intentSink(nowNanos, actions));
        if (nextReadAt <= nowNanos) {
            nextReadAt = nowNanos + READ_NANOS;
            if (intents.isReady()) {
                actions.emit(new WeightAction.ReadLatestVersion());
            }
        }
        if (nextStepAt <= nowNanos) {
            nextStepAt = nowNanos + STEP_NANOS;
            if (intents.isReady()) {
                step(nowNanos, actions);
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(Math.min(nextReadAt, nextStepAt), intents.nextTimerNanos());
    }

    private ActionSink<IntentAction<LoadCommand>> intentSink(
            long now, ActionSink<WeightAction> actions) {
        return action -> {
            if (action instanceof IntentAction.Completed<LoadCommand> completed) {
                onCompleted(completed.intent().command(), completed.result(), now, actions);
            } else {
                actions.emit(new WeightAction.RoleAction(action));
            }
        };
    }

    private void onCompleted(
            LoadCommand command, CommandResult result, long now, ActionSink<WeightAction> actions) {
        Option<TrackedEngine> engine = Option.of(engines.get(command.upstream()));
        if (result == CommandResult.DONE) {
            engine.filter(tracked -> tracked.ordered().contains(command.version()))
                    .forEach(tracked -> tracked.accepted(now));
        } else {
            engine.forEach(tracked -> loadFailed(tracked, command.version(), now, actions));
        }
    }

    private void onEngines(List<WeightEvent.Engine> present) {
        Map<UpstreamId, TrackedEngine> earlier = new HashMap<>(engines);
        engines.clear();
        for (WeightEvent.Engine engine : present) {
            TrackedEngine known = earlier.remove(engine.id());
            engines.put(
                    engine.id(),
                    known != null && known.engine.equals(engine)
                            ? known
                            : new TrackedEngine(engine));
        }
    }

    private void step(long now, ActionSink<WeightAction> actions) {
        for (LoadCommand open : intents.openCommands()) {
            if (!engines.containsKey(open.upstream())) {
                intents.abandon(open.target());
            }
        }
        addAllowance(now);
        target().forEach(target -> orderLoads(target, now, actions));
    }

    private void orderLoads(WeightVersion target, long now, ActionSink<WeightAction> actions) {
        long timeout = limits.loadTimeout().toNanos();
        for (TrackedEngine engine : engines.values()) {
            if (engine.overdue(now, timeout)) {
                engine.ordered().forEach(version -> loadFailed(engine, version, now, actions));
            }
        }
        List<EngineState> states = new ArrayList<>(engines.size());
        for (TrackedEngine engine : engines.values()) {
            WeightEvent.Engine data = engine.engine;
            states.add(new EngineState(data.id(), data.domain(), phase(engine, target, now)));
        }
        for (UpstreamId id : RollingUpdatePlanner.nextEngines(states, limits, (int) allowance)) {
            allowance--;
            Option.of(engines.get(id)).forEach(engine -> order(engine, target, now, actions));
        }
    }

    private void order(
            TrackedEngine engine,
            WeightVersion target,
            long now,
            ActionSink<WeightAction> actions) {
        WeightVersion version = engine.wanted(target, now);
        engine.order(version);
        WeightEvent.Engine data = engine.engine;
        intents.propose(
                new LoadCommand(data.id(), version, data.fencingEnforced()),
                now,
                intentSink(now, actions));
    }

    private Phase phase(TrackedEngine engine, WeightVersion target, long now) {
        if (engine.serves(target) && engine.inReach(now)) {
            return Phase.CURRENT;
        }
        if (intents.hasOpenIntent(engine.engine.id().value()) || engine.awaitsReport()) {
            return Phase.LOADING;
        }
        if (!engine.inReach(now)) {
            return Phase.UNREACHABLE;
        }
        return engine.serves(engine.wanted(target, now)) || engine.waits(now)
                ? Phase.BACKING_OFF
                : Phase.OUTDATED;
    }

    private void loadFailed(
            TrackedEngine engine,
            WeightVersion version,
            long now,
            ActionSink<WeightAction> actions) {
        UpstreamId id = engine.engine.id();
        actions.emit(new WeightAction.LoadFailed(id, version));
        if (!engine.failed(version, limits.maxLoadAttempts(), now)) {
            return;
        }
        Set<UpstreamId> failedOn = failed.computeIfAbsent(version, key -> new HashSet<>());
        failedOn.add(id);
        long loaded = engines.values().stream().filter(other -> other.serves(version)).count();
        boolean widespread = failedOn.size() >= FAILED_SHARE * (failedOn.size() + loaded);
        if (failedOn.size() >= limits.rollbackThreshold() && widespread) {
            fallback(version)
                    .filter(other -> givenUp.add(version))
                    .forEach(
                            other ->
                                    actions.emit(
                                            new WeightAction.VersionRolledBack(version, other)));
        }
    }

    /** Returns the newest version, or the one that replaces it if it was given up. */
    private Option<WeightVersion> target() {
        return latest.flatMap(
                newest -> givenUp.contains(newest) ? fallback(newest) : Option.some(newest));
    }

    /** Returns the version below a given one that most engines report. */
    private Option<WeightVersion> fallback(WeightVersion below) {
        Map<WeightVersion, Integer> counts = new TreeMap<>();
        for (TrackedEngine engine : engines.values()) {
            engine.reported()
                    .filter(version -> version.compareTo(below) < 0 && version.number() > 0)
                    .filter(version -> !givenUp.contains(version))
                    .forEach(version -> counts.merge(version, 1, Integer::sum));
        }
        Option<WeightVersion> best = Option.none();
        for (Map.Entry<WeightVersion, Integer> entry : counts.entrySet()) {
            int most = best.flatMap(version -> Option.of(counts.get(version))).getOrElse(0);
            if (entry.getValue() >= most) {
                best = Option.some(entry.getKey());
            }
        }
        return best;
    }

    /**
     * Adds what the weight store has become able to serve since the last step. Unused allowance is
     * not saved: with a second of it, 700 loads began in one second at a rate of 400.
     */
    private void addAllowance(long now) {
        double rate = limits.loadsPerSecond() * USED_RATE;
        double earned = (now - allowanceAt) / 1e9 * rate;
        allowance = Math.min(Math.max(1, rate * STEP_NANOS / 1e9), allowance + earned);
        allowanceAt = now;
    }

    private static WeightVersion max(WeightVersion a, WeightVersion b) {
        return a.compareTo(b) < 0 ? b : a;
    }
}

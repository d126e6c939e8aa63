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
 * Updates the engines of one model to the newest weights while it holds the role {@code
 * weights/<model>}. Only the version that an engine reports decides whether a load succeeded.
 */
public final class WeightDuty implements Duty<WeightEvent, WeightAction> {
    private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Share of the load rate of the weight store that is used. Commands are sent in groups, one per
     * write of the journal, so that one second can contain the groups of up to 1.25 s.
     */
    private static final double USED_RATE_SHARE = 0.8;

    /**
     * A version is rolled back only if loading failed on at least this share of the engines that
     * tried it.
     */
    private static final double MIN_FAILED_SHARE = 0.2;

    private final String mModel;
    private final RollingUpdateLimits mLimits;
    private final IntentMachine<LoadCommand> mIntents;
    private final Map<UpstreamId, TrackedEngine> mEngines = new LinkedHashMap<>();
    private final Set<WeightVersion> mRolledBack = new HashSet<>();
    private final Map<WeightVersion, Set<UpstreamId>> mFailedEngines = new HashMap<>();

    private Option<WeightVersion> mLatestVersion = Option.none();
    private long mNextStepAt;
    private long mNextReadAt;
    private double mAllowance;
    private long mAllowanceAt;

    /**
     * Creates the duty.
     *
     * @param limits limits of a rolling update
     * @param timing timing of the intents
     * @param random source of the jitter
     * @param startNanos monotonic time of the first step in nanoseconds
     * @param invariants receives the results of checks
     */
    public WeightDuty(
            String model,
            RollingUpdateLimits limits,
            IntentTiming timing,
            RandomGenerator random,
            long startNanos,
            InvariantMonitor invariants) {
        mModel = model;
        mLimits = limits;
        mIntents = new IntentMachine<>(roleOf(model), timing, random, invariants);
        mNextStepAt = startNanos;
        mNextReadAt = startNanos;
        mAllowanceAt = startNanos;
    }

    /** Returns the role under which the weights of a model are changed. */
    public static String roleOf(String model) {
        return "weights/" + model;
    }

    @Override
    public String dutyName() {
        return "weights-" + mModel;
    }

    @Override
    public void onEvent(WeightEvent event, long nowNanos, ActionSink<WeightAction> actions) {
        if (event instanceof WeightEvent.RoleEvent role) {
            mIntents.onEvent(role.event(), nowNanos, intentSink(nowNanos, actions));
        } else if (event instanceof WeightEvent.LatestVersionRead read) {
            mLatestVersion =
                    Option.some(
                            mLatestVersion.fold(read::version, seen -> max(seen, read.version())));
        } else if (event instanceof WeightEvent.EnginesChanged changed) {
            onEnginesChanged(changed.engines());
        } else if (event instanceof WeightEvent.VersionReported report) {
            Option.of(mEngines.get(report.upstream()))
                    .forEach(
                            engine ->
                                    engine.onReport(report.version(), report.startId(), nowNanos));
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<WeightAction> actions) {
        mIntents.onTimer(nowNanos, intentSink(nowNanos, actions));
        if (mNextReadAt <= nowNanos) {
            mNextReadAt = nowNanos + READ_INTERVAL_NANOS;
            if (mIntents.isReady()) {
                actions.emit(new WeightAction.ReadLatestVersion());
            }
        }
        if (mNextStepAt <= nowNanos) {
            mNextStepAt = nowNanos + STEP_INTERVAL_NANOS;
            if (mIntents.isReady()) {
                step(nowNanos, actions);
            }
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(Math.min(mNextReadAt, mNextStepAt), mIntents.nextTimerNanos());
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
        Option<TrackedEngine> engine = Option.of(mEngines.get(command.upstream()));
        if (result == CommandResult.DONE) {
            engine.filter(tracked -> tracked.orderedVersion().contains(command.version()))
                    .forEach(tracked -> tracked.onAccepted(now));
        } else {
            engine.forEach(tracked -> onLoadFailed(tracked, command.version(), now, actions));
        }
    }

    private void onEnginesChanged(List<WeightEvent.Engine> present) {
        Map<UpstreamId, TrackedEngine> earlier = new HashMap<>(mEngines);
        mEngines.clear();
        for (WeightEvent.Engine engine : present) {
            TrackedEngine known = earlier.remove(engine.id());
            mEngines.put(
                    engine.id(),
                    known != null && known.mEngine.equals(engine)
                            ? known
                            : new TrackedEngine(engine));
        }
    }

    private void step(long now, ActionSink<WeightAction> actions) {
        for (LoadCommand open : mIntents.openCommands()) {
            if (!mEngines.containsKey(open.upstream())) {
                mIntents.abandon(open.target());
            }
        }
        addAllowance(now);
        target().forEach(target -> orderLoads(target, now, actions));
    }

    private void orderLoads(WeightVersion target, long now, ActionSink<WeightAction> actions) {
        long timeout = mLimits.loadTimeout().toNanos();
        for (TrackedEngine engine : mEngines.values()) {
            if (engine.isLoadOverdue(now, timeout)) {
                engine.orderedVersion()
                        .forEach(version -> onLoadFailed(engine, version, now, actions));
            }
        }
        List<EngineState> states = new ArrayList<>(mEngines.size());
        for (TrackedEngine engine : mEngines.values()) {
            WeightEvent.Engine spec = engine.mEngine;
            states.add(new EngineState(spec.id(), spec.domain(), phase(engine, target, now)));
        }
        for (UpstreamId id : RollingUpdatePlanner.nextEngines(states, mLimits, (int) mAllowance)) {
            mAllowance--;
            Option.of(mEngines.get(id)).forEach(engine -> order(engine, target, now, actions));
        }
    }

    private void order(
            TrackedEngine engine,
            WeightVersion target,
            long now,
            ActionSink<WeightAction> actions) {
        WeightVersion version = engine.versionToServe(target, now);
        engine.onOrdered(version);
        WeightEvent.Engine spec = engine.mEngine;
        mIntents.propose(
                new LoadCommand(spec.id(), version, spec.fencingEnforced()),
                now,
                intentSink(now, actions));
    }

    private Phase phase(TrackedEngine engine, WeightVersion target, long now) {
        if (engine.serves(target) && engine.isReachable(now)) {
            return Phase.CURRENT;
        }
        if (mIntents.hasOpenIntent(engine.mEngine.id().value()) || engine.isAwaitingReport()) {
            return Phase.LOADING;
        }
        if (!engine.isReachable(now)) {
            return Phase.UNREACHABLE;
        }
        return engine.serves(engine.versionToServe(target, now)) || engine.isBackingOff(now)
                ? Phase.BACKING_OFF
                : Phase.OUTDATED;
    }

    private void onLoadFailed(
            TrackedEngine engine,
            WeightVersion version,
            long now,
            ActionSink<WeightAction> actions) {
        UpstreamId id = engine.mEngine.id();
        actions.emit(new WeightAction.LoadFailed(id, version));
        if (!engine.onFailed(version, mLimits.maxLoadAttempts(), now)) {
            return;
        }
        Set<UpstreamId> failedOn = mFailedEngines.computeIfAbsent(version, key -> new HashSet<>());
        failedOn.add(id);
        long loaded = mEngines.values().stream().filter(other -> other.serves(version)).count();
        boolean widespread = failedOn.size() >= MIN_FAILED_SHARE * (failedOn.size() + loaded);
        if (failedOn.size() >= mLimits.rollbackThreshold() && widespread) {
            fallback(version)
                    .filter(other -> mRolledBack.add(version))
                    .forEach(
                            other ->
                                    actions.emit(
                                            new WeightAction.VersionRolledBack(version, other)));
        }
    }

    /** Returns the newest version, or its fallback if it was rolled back. */
    private Option<WeightVersion> target() {
        return mLatestVersion.flatMap(
                newest -> mRolledBack.contains(newest) ? fallback(newest) : Option.some(newest));
    }

    /** Returns the version below the given one that most engines report. */
    private Option<WeightVersion> fallback(WeightVersion below) {
        Map<WeightVersion, Integer> counts = new TreeMap<>();
        for (TrackedEngine engine : mEngines.values()) {
            engine.reportedVersion()
                    .filter(version -> version.compareTo(below) < 0 && version.number() > 0)
                    .filter(version -> !mRolledBack.contains(version))
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
     * Adds the loads that the weight store could serve since the last step. Unused allowance does
     * not accumulate beyond one step: when a second of it could accumulate, 700 loads started in
     * one second at a rate of 400.
     */
    private void addAllowance(long now) {
        double rate = mLimits.loadsPerSecond() * USED_RATE_SHARE;
        double earned = (now - mAllowanceAt) / 1e9 * rate;
        mAllowance = Math.min(Math.max(1, rate * STEP_INTERVAL_NANOS / 1e9), mAllowance + earned);
        mAllowanceAt = now;
    }

    private static WeightVersion max(WeightVersion a, WeightVersion b) {
        return a.compareTo(b) < 0 ? b : a;
    }
}

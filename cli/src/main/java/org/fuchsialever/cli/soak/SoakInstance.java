package org.fuchsialever.cli.soak;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.config.ConfigDuty;
import org.fuchsialever.decisions.config.ConfigEvent;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.ConfigStatus;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchDuty;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.dispatch.DispatchSettings;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.keys.KeyAction;
import org.fuchsialever.decisions.keys.KeyDuty;
import org.fuchsialever.decisions.keys.KeyEvent;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.samples.RolloutAction;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.decisions.samples.StragglerPolicy;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.ManualTimeSource;

/** One instance: its duties, and the translation of their actions to the simulated outside. */
final class SoakInstance {
    private static final Duration POLL = Duration.ofSeconds(1);
    private static final Duration FRESHNESS = Duration.ofSeconds(5);

    final String mName;
    final FailureDomain mDomain;
    private final SoakWorld mWorld;
    private final ManualTimeSource mClock = new ManualTimeSource(0);
    private final DutyStepper mStepper = new DutyStepper(mClock);
    private final Map<RequestId, Call> mCalls = new TreeMap<>();
    private final List<Runnable> mWhilePaused = new ArrayList<>();
    private final SoakStoreClient mStore;
    private final ActionSink<DispatchEvent> mDispatch;
    private final ActionSink<KeyEvent> mKeys;
    private final SoakRollouts mRollouts;
    private KeyView mKeyView = KeyView.NONE;
    private Option<ConfigSnapshot> mSnapshot = Option.none();
    private ConfigStatus mStatus = ConfigStatus.NONE;
    private boolean mAlive = true;
    private boolean mPaused;
    private long mResumedAt;

    SoakInstance(String name, int domainNumber, SoakWorld world, RandomGenerator random) {
        mName = name;
        mWorld = world;
        long now = world.mTimeline.now();
        mResumedAt = now;
        mClock.advanceNanos(now);
        mDomain = new FailureDomain("fd-" + domainNumber);
        InvariantMonitor monitor = InvariantMonitor.throwing();
        mDispatch =
                mStepper.add(
                        new DispatchDuty(
                                DispatchSettings.standard(new InstanceId(name), mDomain)
                                        .withQueueCapacity(16),
                                random,
                                monitor),
                        this::carryOut);
        mKeys = mStepper.add(new KeyDuty(POLL, FRESHNESS, now, monitor), this::carryOut);
        mStore = new SoakStoreClient(this, world);
        ActionSink<ConfigEvent> config =
                mStepper.add(new ConfigDuty(POLL, now, monitor), mStore::carryOut);
        mStore.connect(config, mKeys);
        StragglerPolicy[] policies = StragglerPolicy.values();
        mRollouts =
                new SoakRollouts(
                        this, world, mStepper, random, policies[random.nextInt(policies.length)]);
    }

    boolean isIdle() {
        return mCalls.isEmpty();
    }

    boolean isReady() {
        return mAlive && mStatus.ready();
    }

    void kill() {
        mAlive = false;
        for (Call call : List.copyOf(mCalls.values())) {
            mWorld.mChecker.answered(call.mCall, Outcome.UNKNOWN, "instance-died");
        }
        mCalls.clear();
    }

    void pause() {
        mPaused = true;
    }

    /** Goes on after a pause; what arrived meanwhile is handled first, in order of arrival. */
    void resume() {
        if (mPaused) {
            mPaused = false;
            mResumedAt = mWorld.mTimeline.now();
            List<Runnable> waiting = List.copyOf(mWhilePaused);
            mWhilePaused.clear();
            waiting.forEach(this::receive);
        }
    }

    /** Runs the timers that are due. */
    void step() {
        if (mAlive && !mPaused) {
            mStepper.advance(mWorld.mTimeline.now() - mClock.nanoTime());
        }
    }

    /** Handles something that arrives; it waits while the process is paused. */
    void receive(Runnable arrival) {
        if (mPaused) {
            mWhilePaused.add(arrival);
        } else if (mAlive) {
            // Advancing runs timers, whose actions may again arrive here at the same moment.
            mClock.advanceNanos(mWorld.mTimeline.now() - mClock.nanoTime());
            arrival.run();
            mStepper.runPending();
        }
    }

    void send(DispatchEvent event) {
        receive(() -> mDispatch.emit(event));
    }

    void send(KeyEvent event) {
        receive(() -> mKeys.emit(event));
    }

    void send(RolloutEvent event) {
        receive(() -> mRollouts.emit(event));
    }

    SoakRollouts rollouts() {
        return mRollouts;
    }

    boolean isAlive() {
        return mAlive;
    }

    /** Generates a sample under the route of rollouts; called by the duty's own thread. */
    void generate(SoakCall call, RolloutAction.Generate action) {
        Option<Route> route = mSnapshot.flatMap(now -> Option.of(now.routes().get(action.route())));
        if (route.isEmpty()) {
            call.mOnEnd.accept(Outcome.NOT_RUN);
        } else {
            submit(call, action.team(), route.get(), action.urgency());
        }
    }

    void endCall(SoakCall call) {
        mDispatch.emit(new DispatchEvent.RequestCancelled(call.mId));
    }

    /** Takes a request of a caller and checks its key, as the front end does. */
    void arrive(SoakCall call, String shownKey) {
        receive(
                () -> {
                    Either<RefusalReason, KeyRecord> key =
                            mKeyView.usable()
                                    ? mKeyView.table().check(shownKey, 0)
                                    : Either.left(RefusalReason.KEYS_STALE);
                    if (!mStatus.ready() || mSnapshot.isEmpty()) {
                        refuse(call, RefusalReason.NOT_READY);
                    } else if (key.isLeft()) {
                        refuse(call, key.getLeft());
                    } else {
                        accept(call, key.get(), mSnapshot.get());
                    }
                });
    }

    private void accept(SoakCall call, KeyRecord key, ConfigSnapshot tables) {
        RouteName name = new RouteName(call.mPlain ? "plain" : "live");
        Route route = Option.of(tables.routes().get(name)).getOrElseThrow(AssertionError::new);
        submit(call, key.team(), route, 0);
    }

    private void submit(SoakCall call, TeamName team, Route route, int urgency) {
        mCalls.put(call.mId, new Call(call));
        mDispatch.emit(
                new DispatchEvent.RequestArrived(
                        new DispatchRequest(
                                call.mId,
                                team,
                                route,
                                call.mPlain ? 0 : 10,
                                call.mPlain ? 0 : call.mTokens,
                                0,
                                !call.mPlain,
                                urgency,
                                mClock.nanoTime() + route.deadline().toNanos())));
    }

    /** The caller closes its connection. */
    void callerLeaves(RequestId id) {
        receive(
                () -> {
                    if (mCalls.containsKey(id)) {
                        mDispatch.emit(new DispatchEvent.RequestCancelled(id));
                    }
                });
    }

    boolean hasGivenUp(SoakCall call, int attempt) {
        Call known = mCalls.get(call.mId);
        return !mAlive || known == null || known.mAttempt != attempt;
    }

    void token(
            SoakCall call,
            DispatchAction.StartAttempt action,
            int generated,
            SoakCall.Token token) {
        receive(
                () -> {
                    if (!hasGivenUp(call, action.attempt())) {
                        int index = action.resumeFrom() + generated;
                        mWorld.mChecker.token(call, index);
                        call.shown(token);
                        mDispatch.emit(
                                new DispatchEvent.AttemptProgressed(
                                        call.mId, action.attempt(), index + 1));
                    }
                });
    }

    void attemptEnded(
            SoakCall call, DispatchAction.StartAttempt action, AttemptResult result, int tokens) {
        AttemptReport report = new AttemptReport(result, 10, tokens, 1_000_000, 50_000_000);
        send(new DispatchEvent.AttemptEnded(call.mId, action.attempt(), report));
    }

    private void carryOut(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            Call call = find(start.request());
            call.mAttempt = start.attempt();
            if (mWorld.mUpstreams.isUp(start.upstream().id())) {
                mWorld.mChecker.started(
                        call.mCall, start.upstream().id(), mClock.nanoTime(), mResumedAt);
            }
            mWorld.mUpstreams.send(call.mCall, start, this);
        } else if (action instanceof DispatchAction.CancelAttempt cancel) {
            find(cancel.request()).mAttempt = -1;
        } else if (action instanceof DispatchAction.Retry retry) {
            mWorld.mChecker.count("retry." + retry.reason().code());
        } else if (action instanceof DispatchAction.Refuse refusal) {
            SoakCall call = find(refusal.request()).mCall;
            mCalls.remove(refusal.request());
            refuse(call, refusal.reason());
        } else if (action instanceof DispatchAction.Finish finish) {
            SoakCall call = find(finish.request()).mCall;
            mCalls.remove(finish.request());
            String reason = finish.outcome() == Outcome.COMPLETED ? "completed" : "caller-left";
            answer(call, finish.outcome(), reason);
        }
    }

    private void refuse(SoakCall call, RefusalReason reason) {
        answer(call, reason.outcome(), reason.code());
    }

    private void answer(SoakCall call, Outcome outcome, String reason) {
        mWorld.mChecker.answered(call, outcome, (call.mSample ? "sample-" : "") + reason);
        call.mOnEnd.accept(outcome);
    }

    private Call find(RequestId id) {
        return Option.of(mCalls.get(id))
                .getOrElseThrow(() -> new AssertionError(id + " was answered already"));
    }

    private void carryOut(KeyAction action) {
        if (action instanceof KeyAction.PublishKeyTable publish) {
            mKeyView = publish.view();
        } else if (action instanceof KeyAction.EndCallsOfKey end) {
            endCalls(call -> call.mKey.equals(end.key()));
        } else if (action instanceof KeyAction.EndAllKeyedCalls) {
            endCalls(call -> !call.mSample);
        } else {
            mStore.carryOut(action);
        }
    }

    private void endCalls(java.util.function.Predicate<SoakCall> ended) {
        for (Call call : mCalls.values()) {
            if (ended.test(call.mCall)) {
                mDispatch.emit(new DispatchEvent.RequestCancelled(call.mCall.mId));
            }
        }
    }

    Option<KeyAction.PublishKeysForPeers> knownKeys() {
        return isRunning() ? mStore.known() : Option.none();
    }

    Option<String> servedText() {
        return isRunning() ? mStore.served() : Option.none();
    }

    private boolean isRunning() {
        return mAlive && !mPaused;
    }

    void publish(ConfigSnapshot newSnapshot) {
        mWorld.mChecker.inForce(mName, newSnapshot.version());
        mSnapshot = Option.some(newSnapshot);
        mDispatch.emit(new DispatchEvent.ConfigChanged(newSnapshot));
    }

    void publish(ConfigStatus newStatus) {
        mStatus = newStatus;
    }

    private static final class Call {
        private final SoakCall mCall;
        private int mAttempt;

        Call(SoakCall call) {
            mCall = call;
        }
    }
}

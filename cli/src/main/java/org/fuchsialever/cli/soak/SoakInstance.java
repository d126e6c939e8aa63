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

    final String name;
    final FailureDomain domain;
    private final SoakWorld world;
    private final ManualTimeSource clock = new ManualTimeSource(0);
    private final DutyStepper stepper = new DutyStepper(clock);
    private final Map<RequestId, Call> calls = new TreeMap<>();
    private final List<Runnable> whilePaused = new ArrayList<>();
    private final SoakStoreClient store;
    private final ActionSink<DispatchEvent> dispatch;
    private final ActionSink<KeyEvent> keys;
    private final SoakRollouts rollouts;
    private KeyView keyView = KeyView.NONE;
    private Option<ConfigSnapshot> snapshot = Option.none();
    private ConfigStatus status = ConfigStatus.NONE;
    private boolean alive = true;
    private boolean paused;
    private long resumedAt;

    SoakInstance(String name, int domainNumber, SoakWorld world, RandomGenerator random) {
        this.name = name;
        this.world = world;
        long now = world.timeline.now();
        resumedAt = now;
        clock.advanceNanos(now);
        domain = new FailureDomain("fd-" + domainNumber);
        InvariantMonitor monitor = InvariantMonitor.throwing();
        dispatch =
                stepper.add(
                        new DispatchDuty(
                                DispatchSettings.standard(new InstanceId(name), domain)
                                        .withQueueCapacity(16),
                                random,
                                monitor),
                        this::carryOut);
        keys = stepper.add(new KeyDuty(POLL, FRESHNESS, now, monitor), this::carryOut);
        store = new SoakStoreClient(this, world);
        ActionSink<ConfigEvent> config =
                stepper.add(new ConfigDuty(POLL, now, monitor), store::carryOut);
        store.connect(config, keys);
        StragglerPolicy[] policies = StragglerPolicy.values();
        rollouts =
                new SoakRollouts(
                        this, world, stepper, random, policies[random.nextInt(policies.length)]);
    }

    boolean isIdle() {
        return calls.isEmpty();
    }

    boolean isReady() {
        return alive && status.ready();
    }

    void kill() {
        alive = false;
        for (Call call : List.copyOf(calls.values())) {
            world.checker.answered(call.call, Outcome.UNKNOWN, "instance-died");
        }
        calls.clear();
    }

    void pause() {
        paused = true;
    }

    /** Goes on after a pause; what arrived meanwhile is handled first, in order of arrival. */
    void resume() {
        if (paused) {
            paused = false;
            resumedAt = world.timeline.now();
            List<Runnable> waiting = List.copyOf(whilePaused);
            whilePaused.clear();
            waiting.forEach(this::receive);
        }
    }

    /** Runs the timers that are due. */
    void step() {
        if (alive && !paused) {
            stepper.advance(world.timeline.now() - clock.nanoTime());
        }
    }

    /** Handles something that arrives; it waits while the process is paused. */
    void receive(Runnable arrival) {
        if (paused) {
            whilePaused.add(arrival);
        } else if (alive) {
            // Advancing runs timers, whose actions may again arrive here at the same moment.
            clock.advanceNanos(world.timeline.now() - clock.nanoTime());
            arrival.run();
            stepper.runPending();
        }
    }

    void send(DispatchEvent event) {
        receive(() -> dispatch.emit(event));
    }

    void send(KeyEvent event) {
        receive(() -> keys.emit(event));
    }

    void send(RolloutEvent event) {
        receive(() -> rollouts.emit(event));
    }

    SoakRollouts rollouts() {
        return rollouts;
    }

    boolean isAlive() {
        return alive;
    }

    /** Generates a sample under the route of rollouts; called by the duty's own thread. */
    void generate(SoakCall call, RolloutAction.Generate action) {
        Option<Route> route = snapshot.flatMap(now -> Option.of(now.routes().get(action.route())));
        if (route.isEmpty()) {
            call.onEnd.accept(Outcome.NOT_RUN);
        } else {
            submit(call, action.team(), route.get(), action.urgency());
        }
    }

    void endCall(SoakCall call) {
        dispatch.emit(new DispatchEvent.RequestCancelled(call.id));
    }

    /** Takes a request of a caller and checks its key, as the front end does. */
    void arrive(SoakCall call, String shownKey) {
        receive(
                () -> {
                    Either<RefusalReason, KeyRecord> key =
                            keyView.usable()
                                    ? keyView.table().check(shownKey, 0)
                                    : Either.left(RefusalReason.KEYS_STALE);
                    if (!status.ready() || snapshot.isEmpty()) {
                        refuse(call, RefusalReason.NOT_READY);
                    } else if (key.isLeft()) {
                        refuse(call, key.getLeft());
                    } else {
                        accept(call, key.get(), snapshot.get());
                    }
                });
    }

    private void accept(SoakCall call, KeyRecord key, ConfigSnapshot tables) {
        RouteName name = new RouteName(call.plain ? "plain" : "live");
        Route route = Option.of(tables.routes().get(name)).getOrElseThrow(AssertionError::new);
        submit(call, key.team(), route, 0);
    }

    private void submit(SoakCall call, TeamName team, Route route, int urgency) {
        calls.put(call.id, new Call(call));
        dispatch.emit(
                new DispatchEvent.RequestArrived(
                        new DispatchRequest(
                                call.id,
                                team,
                                route,
                                call.plain ? 0 : 10,
                                call.plain ? 0 : call.tokens,
                                0,
                                !call.plain,
                                urgency,
                                clock.nanoTime() + route.deadline().toNanos())));
    }

    /** The caller closes its connection. */
    void callerLeaves(RequestId id) {
        receive(
                () -> {
                    if (calls.containsKey(id)) {
                        dispatch.emit(new DispatchEvent.RequestCancelled(id));
                    }
                });
    }

    boolean hasGivenUp(SoakCall call, int attempt) {
        Call known = calls.get(call.id);
        return !alive || known == null || known.attempt != attempt;
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
                        world.checker.token(call, index);
                        call.shown(token);
                        dispatch.emit(
                                new DispatchEvent.AttemptProgressed(
                                        call.id, action.attempt(), index + 1));
                    }
                });
    }

    void attemptEnded(
            SoakCall call, DispatchAction.StartAttempt action, AttemptResult result, int tokens) {
        AttemptReport report = new AttemptReport(result, 10, tokens, 1_000_000, 50_000_000);
        send(new DispatchEvent.AttemptEnded(call.id, action.attempt(), report));
    }

    private void carryOut(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            Call call = find(start.request());
            call.attempt = start.attempt();
            if (world.upstreams.isUp(start.upstream().id())) {
                world.checker.started(
                        call.call, start.upstream().id(), clock.nanoTime(), resumedAt);
            }
            world.upstreams.send(call.call, start, this);
        } else if (action instanceof DispatchAction.CancelAttempt cancel) {
            find(cancel.request()).attempt = -1;
        } else if (action instanceof DispatchAction.Retry retry) {
            world.checker.count("retry." + retry.reason().code());
        } else if (action instanceof DispatchAction.Refuse refusal) {
            SoakCall call = find(refusal.request()).call;
            calls.remove(refusal.request());
            refuse(call, refusal.reason());
        } else if (action instanceof DispatchAction.Finish finish) {
            SoakCall call = find(finish.request()).call;
            calls.remove(finish.request());
            String reason = finish.outcome() == Outcome.COMPLETED ? "completed" : "caller-left";
            answer(call, finish.outcome(), reason);
        }
    }

    private void refuse(SoakCall call, RefusalReason reason) {
        answer(call, reason.outcome(), reason.code());
    }

    private void answer(SoakCall call, Outcome outcome, String reason) {
        world.checker.answered(call, outcome, (call.sample ? "sample-" : "") + reason);
        call.onEnd.accept(outcome);
    }

    private Call find(RequestId id) {
        return Option.of(calls.get(id))
                .getOrElseThrow(() -> new AssertionError(id + " was answered already"));
    }

    private void carryOut(KeyAction action) {
        if (action instanceof KeyAction.PublishKeyTable publish) {
            keyView = publish.view();
        } else if (action instanceof KeyAction.EndCallsOfKey end) {
            endCalls(call -> call.key.equals(end.key()));
        } else if (action instanceof KeyAction.EndAllKeyedCalls) {
            endCalls(call -> !call.sample);
        } else {
            store.carryOut(action);
        }
    }

    private void endCalls(java.util.function.Predicate<SoakCall> ended) {
        for (Call call : calls.values()) {
            if (ended.test(call.call)) {
                dispatch.emit(new DispatchEvent.RequestCancelled(call.call.id));
            }
        }
    }

    Option<KeyAction.PublishKeysForPeers> knownKeys() {
        return isRunning() ? store.known() : Option.none();
    }

    Option<String> servedText() {
        return isRunning() ? store.served() : Option.none();
    }

    private boolean isRunning() {
        return alive && !paused;
    }

    void publish(ConfigSnapshot newSnapshot) {
        world.checker.inForce(name, newSnapshot.version());
        snapshot = Option.some(newSnapshot);
        dispatch.emit(new DispatchEvent.ConfigChanged(newSnapshot));
    }

    void publish(ConfigStatus newStatus) {
        status = newStatus;
    }

    private static final class Call {
        private final SoakCall call;
        private int attempt;

        Call(SoakCall call) {
            this.call = call;
        }
    }
}

package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
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
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.time.ManualTimeSource;

/** Runs a dispatch duty on a manual clock and collects its actions. */
final class DispatchFixture {
    static final PoolName POOL = new PoolName("pool");
    static final TeamName TEAM = new TeamName("alba");

    final ManualTimeSource mTime = new ManualTimeSource(0);
    final DutyStepper mStepper = new DutyStepper(mTime);
    final List<DispatchAction> mActions = new ArrayList<>();
    final ActionSink<DispatchEvent> mEvents;
    private final DispatchSettings mSettings =
            DispatchSettings.standard(new InstanceId("n1"), new FailureDomain("fd-0"))
                    .withQueueCapacity(8);
    private int mSequence;
    private long mVersion;

    DispatchFixture() {
        DispatchDuty duty =
                new DispatchDuty(mSettings, new SplittableRandom(7), InvariantMonitor.throwing());
        mEvents = mStepper.add(duty, mActions::add);
    }

    void configure(UpstreamSpec... upstreams) {
        Pool pool = new Pool(POOL, UpstreamKind.ENGINE, "m", "scored", 0, 9, List.of(upstreams));
        send(
                new DispatchEvent.ConfigChanged(
                        new ConfigSnapshot(++mVersion, Map.of(), Map.of(POOL, pool), Map.of())));
    }

    static UpstreamSpec upstream(int number, int slots) {
        return upstream(number, slots, UpstreamState.SERVING);
    }

    static UpstreamSpec upstream(int number, int slots, UpstreamState state) {
        return new UpstreamSpec(
                new UpstreamId("u" + number),
                POOL,
                "127.0.0.1",
                9000 + number,
                new FailureDomain("fd-" + number),
                CapacityKind.REGULAR,
                slots,
                Fencing.IGNORED,
                state);
    }

    RequestId arrive(boolean repeatable, boolean resumable) {
        return arrive(TEAM, repeatable, resumable, Priority.LIVE, 0);
    }

    RequestId arrive(
            TeamName team, boolean repeatable, boolean resumable, Priority priority, int urgency) {
        Route route =
                new Route(
                        new RouteName("route"),
                        "/r",
                        RouteKind.LIVE,
                        POOL,
                        Access.OPEN,
                        Set.of(),
                        repeatable,
                        priority,
                        Duration.ofSeconds(60),
                        1024);
        RequestId id = new RequestId("r" + mSequence++);
        long deadline = mTime.nanoTime() + route.deadline().toNanos();
        send(
                new DispatchEvent.RequestArrived(
                        new DispatchRequest(
                                id, team, route, 10, 100, 0, resumable, urgency, deadline)));
        return id;
    }

    void end(DispatchAction.StartAttempt start, AttemptResult result, int tokens) {
        send(
                new DispatchEvent.AttemptEnded(
                        start.request(),
                        start.attempt(),
                        new AttemptReport(result, 10, tokens, 1_000_000, 2_000_000)));
    }

    void send(DispatchEvent event) {
        mEvents.emit(event);
        mStepper.runPending();
    }

    void advance(Duration duration) {
        mStepper.advance(duration.toNanos());
    }

    List<DispatchAction.StartAttempt> starts() {
        return ofType(DispatchAction.StartAttempt.class);
    }

    DispatchAction.StartAttempt lastStart() {
        List<DispatchAction.StartAttempt> starts = starts();
        return starts.get(starts.size() - 1);
    }

    List<RefusalReason> refusals() {
        return ofType(DispatchAction.Refuse.class).stream()
                .map(DispatchAction.Refuse::reason)
                .toList();
    }

    <T extends DispatchAction> List<T> ofType(Class<T> type) {
        return mActions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}

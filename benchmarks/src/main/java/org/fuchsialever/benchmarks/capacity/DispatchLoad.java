package org.fuchsialever.benchmarks.capacity;

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
import org.fuchsialever.decisions.dispatch.AttemptReport;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchDuty;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.DispatchRequest;
import org.fuchsialever.decisions.dispatch.DispatchSettings;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/** A dispatch duty before one pool, with as many requests in flight as a node has at the peak. */
final class DispatchLoad {
    private static final PoolName POOL = new PoolName("pool");
    private static final int DOMAINS = 41;
    private static final int SLOTS = 16;
    private static final int IN_FLIGHT = 80;
    private static final int REQUESTS = 20_000;
    private static final long GAP_NANOS = 12_000_000;

    private final DispatchDuty mDuty;
    private final List<DispatchAction.StartAttempt> mStarted = new ArrayList<>();
    private final Route mRoute =
            new Route(
                    new RouteName("route"),
                    "/r",
                    RouteKind.LIVE,
                    POOL,
                    Access.OPEN,
                    Set.of(),
                    true,
                    Priority.LIVE,
                    Duration.ofMinutes(10),
                    1024);
    private long mNow;
    private int mNext;

    DispatchLoad(int upstreams) {
        mDuty =
                new DispatchDuty(
                        DispatchSettings.standard(new InstanceId("n1"), new FailureDomain("fd-0")),
                        new SplittableRandom(3),
                        InvariantMonitor.throwing());
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            specs.add(
                    new UpstreamSpec(
                            new UpstreamId("u" + i),
                            POOL,
                            "127.0.0.1",
                            1,
                            new FailureDomain("fd-" + i % DOMAINS),
                            CapacityKind.REGULAR,
                            SLOTS,
                            Fencing.IGNORED,
                            UpstreamState.SERVING));
        }
        Pool pool = new Pool(POOL, UpstreamKind.ENGINE, "m", "scored", 0, upstreams, specs);
        send(
                new DispatchEvent.ConfigChanged(
                        new ConfigSnapshot(1, Map.of(), Map.of(POOL, pool), Map.of())));
    }

    double microsPerRequest() {
        for (int i = 0; i < IN_FLIGHT; i++) {
            arrive();
        }
        long start = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            mNow += GAP_NANOS;
            if (mDuty.nextTimerNanos() <= mNow) {
                mDuty.onTimer(mNow, this::act);
            }
            finishOldest();
            arrive();
        }
        return (System.nanoTime() - start) / 1e3 / REQUESTS;
    }

    private void finishOldest() {
        DispatchAction.StartAttempt oldest = mStarted.remove(0);
        AttemptReport report =
                new AttemptReport(AttemptResult.COMPLETED, 100, 100, 10_000_000, 900_000_000);
        send(new DispatchEvent.AttemptEnded(oldest.request(), oldest.attempt(), report));
    }

    private void arrive() {
        TeamName team = new TeamName("team-" + mNext % 8);
        RequestId id = new RequestId("r" + mNext++);
        long deadline = mNow + mRoute.deadline().toNanos();
        send(
                new DispatchEvent.RequestArrived(
                        new DispatchRequest(
                                id, team, mRoute, 100, 100, mNext % 500 + 1, true, 0, deadline)));
    }

    private void send(DispatchEvent event) {
        mDuty.onEvent(event, mNow, this::act);
    }

    private void act(DispatchAction action) {
        if (action instanceof DispatchAction.StartAttempt start) {
            mStarted.add(start);
        }
    }
}

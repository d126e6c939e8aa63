package org.fuchsialever.decisions.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;

/** Exposes the package-private selection of an upstream to benchmarks. */
public final class ChoiceHarness {
    private static final int DOMAINS = 41;
    private static final int SLOTS = 16;
    private static final int PREFIXES = 1_000;
    private static final long NOW_NANOS = 1_000_000_000;

    private final Candidates mCandidates;
    private final SelectionCriteria mCriteria = new SelectionCriteria();
    private final List<DispatchRequest> mRequests = new ArrayList<>();
    private int mNext;

    /** Creates a pool of the given number of upstreams with random load. */
    public ChoiceHarness(int upstreams) {
        SplittableRandom random = new SplittableRandom(17);
        mCandidates = new Candidates(random, new FailureDomain("fd-0"), new ServiceTimes());
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            specs.add(upstream(i));
        }
        mCandidates.update(specs);
        for (int i = 0; i < upstreams; i++) {
            int sends = random.nextInt(SLOTS);
            for (int j = 0; j < sends; j++) {
                mCandidates.at(i).onSent(NOW_NANOS);
            }
        }
        for (int i = 0; i < PREFIXES; i++) {
            mCandidates.cache().onStored(i + 1, random.nextInt(upstreams));
            mRequests.add(request(i + 1));
        }
    }

    /**
     * Selects an upstream with the scored policy and returns its index, or -1 if none is usable.
     */
    public int choose() {
        mNext = mNext + 1 == PREFIXES ? 0 : mNext + 1;
        mCriteria.set(mRequests.get(mNext), null, false);
        return BalancingPolicy.SCORED.choose(mCandidates, mCriteria, NOW_NANOS);
    }

    private static UpstreamSpec upstream(int number) {
        return new UpstreamSpec(
                new UpstreamId("u" + number),
                new PoolName("pool"),
                "127.0.0.1",
                1,
                new FailureDomain("fd-" + number % DOMAINS),
                CapacityKind.REGULAR,
                SLOTS,
                Fencing.IGNORED,
                UpstreamState.SERVING);
    }

    private static DispatchRequest request(long prefix) {
        Route route =
                new Route(
                        new RouteName("route"),
                        "/r",
                        RouteKind.LIVE,
                        new PoolName("pool"),
                        Access.OPEN,
                        Set.of(),
                        true,
                        Priority.LIVE,
                        Duration.ofSeconds(60),
                        1024);
        RequestId id = new RequestId("r" + prefix);
        return new DispatchRequest(
                id, new TeamName("alba"), route, 1_500, 100, prefix, true, 0, Long.MAX_VALUE);
    }
}

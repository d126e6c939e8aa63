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

/** Gives benchmarks access to single choices of an upstream, which are not public. */
public final class ChoiceHarness {
    private static final int DOMAINS = 41;
    private static final int SLOTS = 16;
    private static final int PREFIXES = 1_000;
    private static final long NOW_NANOS = 1_000_000_000;

    private final Candidates candidates;
    private final Choice choice = new Choice();
    private final List<DispatchRequest> requests = new ArrayList<>();
    private int next;

    /** Creates a pool of the given number of upstreams with random load. */
    public ChoiceHarness(int upstreams) {
        SplittableRandom random = new SplittableRandom(17);
        candidates = new Candidates(random, new FailureDomain("fd-0"), new ServiceTimes());
        List<UpstreamSpec> specs = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            specs.add(upstream(i));
        }
        candidates.update(specs);
        for (int i = 0; i < upstreams; i++) {
            int sends = random.nextInt(SLOTS);
            for (int j = 0; j < sends; j++) {
                candidates.at(i).onSent(NOW_NANOS);
            }
        }
        for (int i = 0; i < PREFIXES; i++) {
            candidates.cache().stored(i + 1, random.nextInt(upstreams));
            requests.add(request(i + 1));
        }
    }

    /** Chooses an upstream with the scored policy and returns its index, or -1. */
    public int choose() {
        next = next + 1 == PREFIXES ? 0 : next + 1;
        choice.set(requests.get(next), null, false);
        return BalancingPolicy.SCORED.choose(candidates, choice, NOW_NANOS);
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

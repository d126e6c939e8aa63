package org.fuchsialever.decisions.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.weights.EngineState.Phase;
import org.junit.jupiter.api.Test;

/** Guards against waves that take a failure domain out of service or flood the weight store. */
class RolloutWavesTest {
    private static final RollingUpdateLimits LIMITS = RollingUpdateLimits.standard(100);

    private static EngineState engine(int number, int domains, Phase phase) {
        return new EngineState(
                new UpstreamId("e" + number), new FailureDomain("d" + number % domains), phase);
    }

    @Test
    void neverTakesMoreThanItsShareOfAFailureDomainOutOfService() {
        SplittableRandom random = new SplittableRandom(3);
        for (int run = 0; run < 300; run++) {
            int domains = 1 + random.nextInt(5);
            List<EngineState> engines = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(80); i++) {
                Phase phase =
                        random.nextInt(3) == 0
                                ? Phase.values()[random.nextInt(Phase.values().length)]
                                : Phase.OUTDATED;
                engines.add(engine(i, domains, phase));
            }
            int allowance = random.nextInt(40);
            Set<UpstreamId> next =
                    new HashSet<>(RollingUpdatePlanner.nextEngines(engines, LIMITS, allowance));
            assertThat(next.size(), lessThanOrEqualTo(allowance));
            Map<FailureDomain, List<EngineState>> byDomain =
                    engines.stream().collect(Collectors.groupingBy(EngineState::domain));
            byDomain.values().forEach(members -> assertShare(members, next));
        }
    }

    private static void assertShare(List<EngineState> members, Set<UpstreamId> next) {
        long before = members.stream().filter(e -> e.phase().isOutOfService()).count();
        long chosen = members.stream().filter(e -> next.contains(e.id())).count();
        long loading = members.stream().filter(e -> e.phase() == Phase.LOADING).count();
        // One engine may load even where others are out of reach, or it would stay outdated.
        if (chosen > 0 && loading + chosen > 1) {
            long room = Math.max(1, (long) (members.size() * LIMITS.maxUnavailableShare()));
            assertThat(before + chosen, lessThanOrEqualTo(room));
        }
    }

    @Test
    void theFirstEnginesAreFewAndInDifferentFailureDomains() {
        List<EngineState> engines = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            engines.add(engine(i, 5, Phase.OUTDATED));
        }
        List<UpstreamId> first = RollingUpdatePlanner.nextEngines(engines, LIMITS, 50);
        assertThat(first.size(), equalTo(3));
        Set<FailureDomain> domains =
                engines.stream()
                        .filter(engine -> first.contains(engine.id()))
                        .map(EngineState::domain)
                        .collect(Collectors.toSet());
        assertThat(domains.size(), equalTo(3));
    }

    @Test
    void aPoolOfOneEngineIsRolledOutToo() {
        List<EngineState> engines = List.of(engine(0, 1, Phase.OUTDATED));
        assertThat(RollingUpdatePlanner.nextEngines(engines, LIMITS, 1).isEmpty(), is(false));
    }
}

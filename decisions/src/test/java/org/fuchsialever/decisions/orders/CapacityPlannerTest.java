package org.fuchsialever.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Guards against plans that lose service with a failure domain or exceed the pool's limits. */
class CapacityPlannerTest {

    @Test
    void theMixIsTheCheapestThatSurvivesTheLossOfAnyCheapFailureDomain() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 500; i++) {
            PlanLimits limits = PoolFixture.limits(0, 30);
            int firm = random.nextInt(16);
            CapacityNeed need = new CapacityNeed(firm, firm + random.nextInt(5));
            Set<CapacityPlacement> unavailable = new HashSet<>();
            for (FailureDomain domain : PoolFixture.DOMAINS) {
                if (random.nextInt(4) == 0) {
                    unavailable.add(new CapacityPlacement(CapacityKind.CHEAP, domain));
                }
            }
            PlanInput input = new PlanInput(limits, need, need, List.of(), unavailable);
            Map<CapacityPlacement, Integer> target = OrderPolicy.PLANNED.target(input);
            assertThat(CapacityPlanner.meets(target, need), is(true));
            assertThat(
                    price(target, limits),
                    closeTo(cheapest(limits, need, 3 - unavailable.size()), 1e-9));
        }
    }

    private static double price(Map<CapacityPlacement, Integer> target, PlanLimits limits) {
        double price = 0;
        for (Map.Entry<CapacityPlacement, Integer> entry : target.entrySet()) {
            boolean regular = entry.getKey().kind() == CapacityKind.REGULAR;
            price += entry.getValue() * (regular ? limits.regularPrice() : limits.cheapPrice());
        }
        return price;
    }

    private static double cheapest(PlanLimits limits, CapacityNeed need, int domains) {
        double best = Double.MAX_VALUE;
        for (int regular = 0; regular <= 30; regular++) {
            for (int cheap = 0; regular + cheap <= 30 && (domains > 0 || cheap == 0); cheap++) {
                int lost = domains == 0 ? 0 : (cheap + domains - 1) / domains;
                if (regular + cheap >= need.total()
                        && regular + cheap - lost >= need.guaranteed()) {
                    best =
                            Math.min(
                                    best,
                                    regular * limits.regularPrice() + cheap * limits.cheapPrice());
                }
            }
        }
        return best;
    }

    @Test
    void noPolicyExceedsTheMaximum() {
        for (OrderPolicy policy : OrderPolicy.values()) {
            CapacityNeed need = PoolFixture.limits(0, 7).need(PoolFixture.demand(500, 500));
            PlanInput input =
                    new PlanInput(PoolFixture.limits(0, 7), need, need, List.of(), Set.of());
            assertThat(CapacityPlanner.plan(input, policy).starts().size(), lessThanOrEqualTo(7));
        }
    }

    @Test
    void keepsTheMinimumWithoutDemand() {
        CapacityNeed need = PoolFixture.limits(3, 7).need(PoolFixture.demand(0, 0));
        PlanInput input = new PlanInput(PoolFixture.limits(3, 7), need, need, List.of(), Set.of());
        assertThat(CapacityPlanner.plan(input, OrderPolicy.PLANNED).starts().size(), equalTo(3));
    }

    @Test
    void keepsCheapUpstreamsWhereNoMoreCanBeHad() {
        CapacityPlacement place = PoolFixture.place(CapacityKind.CHEAP, "a");
        List<ObservedUpstream> serving = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            serving.add(
                    new ObservedUpstream(
                            new UpstreamId("u" + i), place, ObservedUpstream.State.SERVING));
        }
        CapacityNeed need = new CapacityNeed(4, 4);
        PlanInput input =
                new PlanInput(PoolFixture.limits(0, 20), need, need, serving, Set.of(place));
        CapacityPlan plan = CapacityPlanner.plan(input, OrderPolicy.PLANNED);
        assertThat(plan.stops().size(), equalTo(0));
        assertThat(plan.starts().size(), equalTo(4));
    }

    @Test
    void aBacklogOfOneTeamBuysNoMoreThanItsShareOfThePool() {
        PoolDemand demand =
                new PoolDemand(
                        List.of(
                                new TeamDemand(new TeamName("blue"), 1, 0, 10_000),
                                new TeamDemand(new TeamName("green"), 3, 0, 0)),
                        List.of());
        assertThat(demand.totalSlots(200), closeTo(50, 1e-9));
    }

    @Test
    void aNearerDeadlineNeedsMoreUpstreams() {
        TrainerName trainer = new TrainerName("alba");
        PoolDemand far = new PoolDemand(List.of(), List.of(new StepDemand(trainer, 6_000, 600)));
        PoolDemand near = new PoolDemand(List.of(), List.of(new StepDemand(trainer, 6_000, 100)));
        PlanLimits limits = PoolFixture.limits(0, 100);
        assertThat(limits.need(far).guaranteed(), equalTo(2));
        assertThat(limits.need(near).guaranteed(), equalTo(8));
    }
}

package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.junit.jupiter.api.Test;

class VersionPlannerTest {
    private static final List<String> MODELS = List.of("m1", "m2", "m3");

    @Test
    void givesEachModelAnEqualPartOfTheUpstreams() {
        Map<String, List<FleetUpstream>> homes = VersionPlanner.assign(MODELS, engines(6));
        Set<String> used = new HashSet<>();
        homes.values()
                .forEach(
                        list -> {
                            assertThat(list, hasSize(2));
                            list.forEach(upstream -> used.add(upstream.id()));
                        });
        assertThat(used, hasSize(6));
    }

    @Test
    void keepsAModelWhereItsNewestVersionIsLoaded() {
        List<FleetUpstream> upstreams = new ArrayList<>(engines(6));
        upstreams.set(4, engine("e4", Map.of("m1", 3L, "m2", 1L, "m3", 1L)));
        upstreams.set(5, engine("e5", Map.of("m1", 3L, "m2", 1L, "m3", 1L)));
        List<String> homes =
                VersionPlanner.assign(MODELS, upstreams).getOrDefault("m1", List.of()).stream()
                        .map(FleetUpstream::id)
                        .toList();
        assertThat(homes, is(List.of("e4", "e5")));
    }

    @Test
    void servesEachModelWhenThereAreFewerUpstreamsThanModels() {
        VersionPlanner.assign(MODELS, engines(1))
                .values()
                .forEach(list -> assertThat(list, hasSize(1)));
    }

    @Test
    void leavesHalfOfTheHomesOnTheFormerVersionWhileOthersLoad() {
        Map<String, List<FleetUpstream>> homes = VersionPlanner.assign(MODELS, engines(6));
        List<VersionOrder> orders =
                VersionPlanner.plan(homes, Map.of("m1", 2L), Map.of(), Map.of(), 6);
        assertThat(orders, hasSize(1));
        assertThat(
                VersionPlanner.plan(
                        homes,
                        Map.of("m1", 2L),
                        Map.of(),
                        Map.of(orders.get(0).upstream().id(), "m1"),
                        6),
                is(empty()));
    }

    @Test
    void loadsAtMostAsManyAtOnceAsLoadAtFullSpeed() {
        Map<String, List<FleetUpstream>> homes = VersionPlanner.assign(MODELS, engines(6));
        Map<String, Long> named = Map.of("m1", 2L, "m2", 2L, "m3", 2L);
        assertThat(VersionPlanner.plan(homes, named, Map.of(), Map.of(), 6), hasSize(2));
    }

    /** Guards against loads that take a fifth of the time of each engine. */
    @Test
    void loadsEachHomeOnlyEverySecondVersionWhereItemsMayRunUnderTheOneBefore() {
        List<FleetUpstream> upstreams = new ArrayList<>(engines(2));
        Map<String, Long> tolerated = Map.of("m1", 1L);
        int loads = 0;
        for (long version = 2; version <= 11; version++) {
            Map<String, List<FleetUpstream>> homes = Map.of("m1", List.copyOf(upstreams));
            for (VersionOrder order :
                    VersionPlanner.plan(
                            homes, Map.of("m1", version), tolerated, Map.of(), upstreams.size())) {
                loads++;
                upstreams.remove(order.upstream());
                upstreams.add(engine(order.upstream().id(), Map.of("m1", version)));
            }
            for (FleetUpstream upstream : upstreams) {
                assertThat(upstream.versionOf("m1"), is(greaterThanOrEqualTo(version - 1)));
            }
        }
        assertThat(loads, is(10));
    }

    @Test
    void loadsHomesFirstThatAreTooOldForTheTrainer() {
        List<FleetUpstream> upstreams =
                List.of(engine("e1", Map.of("m1", 4L)), engine("e2", Map.of("m1", 3L)));
        List<VersionOrder> orders =
                VersionPlanner.plan(
                        Map.of("m1", upstreams), Map.of("m1", 5L), Map.of("m1", 1L), Map.of(), 2);
        assertThat(orders, hasSize(1));
        assertThat(orders.get(0).upstream().id(), is("e2"));
    }

    private static List<FleetUpstream> engines(int count) {
        List<FleetUpstream> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("e" + i, Map.of("m1", 1L, "m2", 1L, "m3", 1L)));
        }
        return engines;
    }

    private static FleetUpstream engine(String id, Map<String, Long> versions) {
        return new FleetUpstream(id, "s", "10.0.0.1", 80, "z", 8, true, versions, 1);
    }
}

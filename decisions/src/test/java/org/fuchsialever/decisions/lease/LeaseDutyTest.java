package org.fuchsialever.decisions.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against two simultaneous holders of a role and against roles that stay free. */
class LeaseDutyTest {
    private static final long SECOND = 1_000 * LeaseSimulation.NANOS_PER_MILLI;
    private static final List<String> ROLES =
            IntStream.range(0, 9).mapToObj(i -> "pool/p" + i).toList();

    private static LeaseSimulation simulation(long seed, int instances) {
        LeaseSimulation simulation = new LeaseSimulation(seed, ROLES);
        IntStream.range(0, instances).forEach(i -> simulation.add("node-" + i));
        return simulation;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void twoNeverActAtOnceUnderStaleReadsLostAnswersOutagesAndPauses(long seed) {
        LeaseSimulation simulation = simulation(seed, 5);
        simulation.lossRate = 0.08;
        simulation.pauseRate = 0.02;
        simulation.staleness = 4;
        for (int round = 0; round < 6; round++) {
            simulation.run(25 * SECOND);
            simulation.outage = true;
            simulation.run((round + 1) * 2 * SECOND);
            simulation.outage = false;
        }
        assertThat("seed " + seed, simulation.violations, is(empty()));
        simulation.lossRate = 0;
        simulation.pauseRate = 0;
        simulation.run(45 * SECOND);
        assertThat("seed " + seed, simulation.heldRoles(), equalTo((long) ROLES.size()));
        assertThat("seed " + seed, simulation.violations, is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40})
    void allRolesOfADeadHolderMoveWithinTenSeconds(long seed) {
        LeaseSimulation simulation = simulation(seed, 4);
        simulation.staleness = 2;
        simulation.run(20 * SECOND + seed * 137 * LeaseSimulation.NANOS_PER_MILLI);
        Set<String> orphaned = new TreeSet<>(simulation.instances.get(0).held.keySet());
        assertThat("seed " + seed, orphaned, is(not(empty())));
        simulation.instances.get(0).kill();
        for (int step = 0; step < 100; step++) {
            simulation.run(SECOND / 10);
            orphaned.removeIf(role -> !simulation.actingIn(role).isEmpty());
        }
        assertThat("seed " + seed, orphaned, is(empty()));
        assertThat("seed " + seed, simulation.violations, is(empty()));
    }

    @Test
    void theOnlySurvivorTakesAllRolesWithinTenSeconds() {
        LeaseSimulation simulation = simulation(50, 4);
        simulation.run(20 * SECOND);
        simulation.instances.subList(1, 4).forEach(LeaseSimulation.Instance::kill);
        simulation.run(10 * SECOND);
        assertThat(simulation.instances.get(0).held.size(), equalTo(ROLES.size()));
    }

    @Test
    void aNewInstanceGetsRolesByHandOver() {
        LeaseSimulation simulation = simulation(60, 2);
        simulation.run(20 * SECOND);
        simulation.add("node-new");
        simulation.run(40 * SECOND);
        for (LeaseSimulation.Instance instance : simulation.instances) {
            assertThat(instance.name, instance.held.size(), equalTo(3));
        }
        assertThat(simulation.violations, is(empty()));
    }

    @Test
    void renewalsOfAllRolesOfAnInstanceTakeOneCommit() {
        LeaseSimulation simulation = simulation(70, 3);
        simulation.run(30 * SECOND);
        long before = simulation.table.commitCount();
        simulation.run(20 * SECOND);
        long commits = simulation.table.commitCount() - before;
        assertThat(commits, greaterThan(25L));
        assertThat(commits, lessThanOrEqualTo(33L));
    }

    @Test
    void aPausedHolderStopsBeforeItDoesAnythingElse() {
        LeaseSimulation simulation = simulation(80, 2);
        simulation.run(20 * SECOND);
        LeaseSimulation.Instance paused = simulation.instances.get(0);
        paused.pause(15 * SECOND);
        simulation.run(15 * SECOND);
        assertThat(simulation.instances.get(1).held.size(), equalTo(ROLES.size()));
        simulation.run(10 * LeaseSimulation.NANOS_PER_MILLI);
        assertThat(paused.held.keySet(), is(empty()));
        assertThat(simulation.violations, is(empty()));
    }

    @Test
    void deadSessionsLeaveNoRowsBehind() {
        LeaseSimulation simulation = simulation(90, 3);
        simulation.run(20 * SECOND);
        for (int i = 0; i < 8; i++) {
            simulation.instances.get(i).kill();
            simulation.add("node-next-" + i);
            simulation.run(20 * SECOND);
        }
        int live = 3;
        assertThat(simulation.table.rowCount(), lessThanOrEqualTo(ROLES.size() * 2 + live));
    }
}

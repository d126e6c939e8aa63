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
        simulation.mLossRate = 0.08;
        simulation.mPauseRate = 0.02;
        simulation.mStaleness = 4;
        for (int round = 0; round < 6; round++) {
            simulation.run(25 * SECOND);
            simulation.mOutage = true;
            simulation.run((round + 1) * 2 * SECOND);
            simulation.mOutage = false;
        }
        assertThat("seed " + seed, simulation.mViolations, is(empty()));
        simulation.mLossRate = 0;
        simulation.mPauseRate = 0;
        simulation.run(45 * SECOND);
        assertThat("seed " + seed, simulation.heldRoles(), equalTo((long) ROLES.size()));
        assertThat("seed " + seed, simulation.mViolations, is(empty()));
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40})
    void allRolesOfADeadHolderMoveWithinTenSeconds(long seed) {
        LeaseSimulation simulation = simulation(seed, 4);
        simulation.mStaleness = 2;
        simulation.run(20 * SECOND + seed * 137 * LeaseSimulation.NANOS_PER_MILLI);
        Set<String> orphaned = new TreeSet<>(simulation.mInstances.get(0).mHeld.keySet());
        assertThat("seed " + seed, orphaned, is(not(empty())));
        simulation.mInstances.get(0).kill();
        for (int step = 0; step < 100; step++) {
            simulation.run(SECOND / 10);
            orphaned.removeIf(role -> !simulation.actingIn(role).isEmpty());
        }
        assertThat("seed " + seed, orphaned, is(empty()));
        assertThat("seed " + seed, simulation.mViolations, is(empty()));
    }

    @Test
    void theOnlySurvivorTakesAllRolesWithinTenSeconds() {
        LeaseSimulation simulation = simulation(50, 4);
        simulation.run(20 * SECOND);
        simulation.mInstances.subList(1, 4).forEach(LeaseSimulation.Instance::kill);
        simulation.run(10 * SECOND);
        assertThat(simulation.mInstances.get(0).mHeld.size(), equalTo(ROLES.size()));
    }

    @Test
    void aNewInstanceGetsRolesByHandOver() {
        LeaseSimulation simulation = simulation(60, 2);
        simulation.run(20 * SECOND);
        simulation.add("node-new");
        simulation.run(40 * SECOND);
        for (LeaseSimulation.Instance instance : simulation.mInstances) {
            assertThat(instance.mName, instance.mHeld.size(), equalTo(3));
        }
        assertThat(simulation.mViolations, is(empty()));
    }

    @Test
    void renewalsOfAllRolesOfAnInstanceTakeOneCommit() {
        LeaseSimulation simulation = simulation(70, 3);
        simulation.run(30 * SECOND);
        long before = simulation.mTable.commitCount();
        simulation.run(20 * SECOND);
        long commits = simulation.mTable.commitCount() - before;
        assertThat(commits, greaterThan(25L));
        assertThat(commits, lessThanOrEqualTo(33L));
    }

    @Test
    void aPausedHolderStopsBeforeItDoesAnythingElse() {
        LeaseSimulation simulation = simulation(80, 2);
        simulation.run(20 * SECOND);
        LeaseSimulation.Instance paused = simulation.mInstances.get(0);
        paused.pause(15 * SECOND);
        simulation.run(15 * SECOND);
        assertThat(simulation.mInstances.get(1).mHeld.size(), equalTo(ROLES.size()));
        simulation.run(10 * LeaseSimulation.NANOS_PER_MILLI);
        assertThat(paused.mHeld.keySet(), is(empty()));
        assertThat(simulation.mViolations, is(empty()));
    }

    @Test
    void deadSessionsLeaveNoRowsBehind() {
        LeaseSimulation simulation = simulation(90, 3);
        simulation.run(20 * SECOND);
        for (int i = 0; i < 8; i++) {
            simulation.mInstances.get(i).kill();
            simulation.add("node-next-" + i);
            simulation.run(20 * SECOND);
        }
        int live = 3;
        assertThat(simulation.mTable.rowCount(), lessThanOrEqualTo(ROLES.size() * 2 + live));
    }
}

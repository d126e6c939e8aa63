package org.fuchsialever.decisions.workingset;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.workingset.SimulatedFleet.SimulatedInstance;
import org.junit.jupiter.api.Test;

class WorkingSetDutyTest {
    private static final long SECOND = 1_000 * SimulatedFleet.MILLI;

    @Test
    void makesEveryInstanceOfASmallFleetAMember() {
        SimulatedFleet fleet = new SimulatedFleet(9, 1);
        fleet.run(4 * SECOND);
        assertThat(fleet.members(), is(9L));
    }

    @Test
    void fillsAllSlotsOfALargeFleetAndNoMore() {
        for (int size : new int[] {30, 100, 400}) {
            SimulatedFleet fleet = new SimulatedFleet(size, size);
            fleet.run(10 * SECOND);
            assertThat(fleet.members(), is((long) WorkingSetDuty.SLOT_COUNT));
        }
    }

    @Test
    void writesNoMoreOftenInALargerFleet() {
        long small = writesOfAMinute(30);
        long large = writesOfAMinute(400);
        assertThat((double) large / small, lessThanOrEqualTo(1.05));
    }

    private static long writesOfAMinute(int size) {
        SimulatedFleet fleet = new SimulatedFleet(size, 5);
        fleet.run(10 * SECOND);
        long before = fleet.writes();
        fleet.run(60 * SECOND);
        return fleet.writes() - before;
    }

    @Test
    void replacesAllMembersAtOnceByOtherInstances() {
        SimulatedFleet fleet = new SimulatedFleet(100, 3);
        fleet.run(10 * SECOND);
        fleet.mInstances.stream().filter(i -> i.mMember).forEach(SimulatedInstance::stop);
        fleet.run(10 * SECOND);
        assertThat(fleet.members(), is((long) WorkingSetDuty.SLOT_COUNT));
    }

    @Test
    void givesARestartedMemberItsSlotBackAtOnce() {
        SimulatedFleet fleet = new SimulatedFleet(30, 4);
        fleet.run(10 * SECOND);
        SimulatedInstance member =
                fleet.mInstances.stream().filter(i -> i.mMember).findFirst().orElseThrow();
        member.stop();
        fleet.run(SECOND);
        member.restart();
        fleet.run(SECOND / 2);
        assertThat(member.mMember, is(true));
    }

    @Test
    void takesNoSlotAwayBecauseTheStoreWasDown() {
        SimulatedFleet fleet = new SimulatedFleet(30, 6);
        fleet.run(10 * SECOND);
        List<SimulatedInstance> before = fleet.mInstances.stream().filter(i -> i.mMember).toList();
        fleet.setStoreDown(true);
        fleet.run(20 * SECOND);
        fleet.setStoreDown(false);
        fleet.run(10 * SECOND);
        assertThat(fleet.mInstances.stream().filter(i -> i.mMember).toList(), is(before));
    }

    @Test
    void settlesAgainAfterLossesPausesRestartsAndLostAnswers() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedFleet fleet = new SimulatedFleet(3 + random.nextInt(60), seed);
            fleet.loseAnswers(0.2);
            for (int round = 0; round < 30; round++) {
                SimulatedInstance any =
                        fleet.mInstances.get(random.nextInt(fleet.mInstances.size()));
                switch (random.nextInt(4)) {
                    case 0 -> any.stop();
                    case 1 -> any.pause();
                    case 2 -> any.restart();
                    default -> any.resume();
                }
                fleet.run(random.nextLong(2 * SECOND));
            }
            fleet.loseAnswers(0);
            fleet.mInstances.forEach(SimulatedInstance::restart);
            fleet.run(12 * SECOND);
            int expected = Math.min(fleet.mInstances.size(), WorkingSetDuty.SLOT_COUNT);
            assertThat("seed " + seed, fleet.members(), is((long) expected));
        }
    }

    @Test
    void leavesItsSlotToOthersWhenItShutsDown() {
        List<WorkingSetAction> actions = new ArrayList<>();
        WorkingSetDuty duty = new WorkingSetDuty("n1", "s1", 1, new SplittableRandom(1));
        duty.onEvent(new WorkingSetEvent.SlotsCurrent(), 0, actions::add);
        duty.onTimer(SECOND, actions::add);
        WorkingSetAction.WriteSlot claim = (WorkingSetAction.WriteSlot) actions.get(0);
        duty.onEvent(new WorkingSetEvent.Written(claim.slot(), 7), SECOND, actions::add);
        duty.onEvent(new WorkingSetEvent.Draining(), SECOND, actions::add);
        assertThat(
                actions.get(actions.size() - 1),
                is(new WorkingSetAction.WriteSlot(claim.slot(), 7, true)));
        duty.onEvent(new WorkingSetEvent.Written(claim.slot(), 8), SECOND, actions::add);
        assertThat(
                actions.get(actions.size() - 1), is(new WorkingSetAction.MembershipChanged(false)));
    }

    @Test
    void isNoMemberAnyMoreWhenAnotherInstanceHasTakenItsSlot() {
        List<WorkingSetAction> actions = new ArrayList<>();
        WorkingSetDuty duty = new WorkingSetDuty("n1", "s1", 1, new SplittableRandom(1));
        duty.onEvent(new WorkingSetEvent.SlotsCurrent(), 0, actions::add);
        duty.onTimer(SECOND, actions::add);
        int slot = ((WorkingSetAction.WriteSlot) actions.get(0)).slot();
        duty.onEvent(new WorkingSetEvent.Written(slot, 7), SECOND, actions::add);
        duty.onTimer(2 * SECOND, actions::add);
        MemberSlot other = new MemberSlot(slot, "n2", "s2", false, 9);
        duty.onEvent(
                new WorkingSetEvent.Conflicted(slot, Option.some(other)), 2 * SECOND, actions::add);
        assertThat(
                actions.get(actions.size() - 1), is(new WorkingSetAction.MembershipChanged(false)));
    }
}

package org.fuchsialever.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against lost members, false removals and traffic that grows with the square. */
class MembershipDutyTest {
    private static final long SECOND = 1_000_000_000L;

    private final DutyStepper stepper = new DutyStepper(new ManualTimeSource(0));
    private final Map<InstanceId, ActionSink<MembershipEvent>> inboxes = new HashMap<>();
    private final Map<InstanceId, List<Member>> views = new HashMap<>();
    private final Set<InstanceId> cutOff = new HashSet<>();
    private final Set<InstanceId> unreachable = new HashSet<>();
    private final List<Integer> sizes = new ArrayList<>();
    private int sent;

    private static InstanceId id(int number) {
        return new InstanceId("node-" + number);
    }

    private static Member member(int number, long incarnation) {
        return new Member(
                id(number),
                "region-" + number % 2,
                new FailureDomain("fd-" + number % 4),
                incarnation,
                MemberState.ALIVE);
    }

    private void start(int count) {
        IntStream.range(0, count).forEach(this::startOne);
        MembershipEvent listed =
                new MembershipEvent.InstancesListed(
                        IntStream.range(0, count).mapToObj(i -> member(i, 0)).toList());
        inboxes.values().forEach(inbox -> inbox.emit(listed));
    }

    private void startOne(int number) {
        InstanceId self = id(number);
        MembershipDuty duty =
                new MembershipDuty(member(number, 1), new SplittableRandom(91 + number), 0);
        inboxes.put(self, stepper.add(duty, action -> carryOut(self, action)));
    }

    private void carryOut(InstanceId self, MembershipAction action) {
        if (action instanceof MembershipAction.ViewChanged view) {
            views.put(self, view.members());
            if (view.isolated()) {
                cutOff.add(self);
            } else {
                cutOff.remove(self);
            }
        } else if (action instanceof MembershipAction.SendHeartbeat send) {
            sent++;
            sizes.add(send.heartbeat().changes().size());
            ActionSink<MembershipEvent> inbox = inboxes.get(send.receiver());
            if (inbox != null
                    && !unreachable.contains(self)
                    && !unreachable.contains(send.receiver())) {
                inbox.emit(new MembershipEvent.HeartbeatReceived(send.heartbeat()));
            }
        }
    }

    private void tell(int number, MembershipEvent event) {
        Objects.requireNonNull(inboxes.get(id(number))).emit(event);
    }

    private List<Member> viewOf(int number) {
        return Objects.requireNonNull(views.get(id(number)));
    }

    private List<MemberState> statesOf(int number) {
        return views.entrySet().stream()
                .filter(view -> !unreachable.contains(view.getKey()))
                .flatMap(view -> view.getValue().stream())
                .filter(member -> member.instance().equals(id(number)))
                .map(Member::state)
                .toList();
    }

    @Test
    void aDeadInstanceIsFirstSuspectedAndThenRemovedEverywhere() {
        start(12);
        stepper.advance(10 * SECOND);
        unreachable.add(id(3));
        stepper.advance(4 * SECOND);
        assertThat(statesOf(3).size(), equalTo(11));
        assertThat(statesOf(3), everyItem(is(MemberState.SUSPECT)));
        stepper.advance(10 * SECOND);
        assertThat(statesOf(3), is(empty()));
    }

    @Test
    void anInstanceThatIsCutOffRemovesNobodyAndComesBack() {
        start(12);
        stepper.advance(10 * SECOND);
        unreachable.add(id(3));
        stepper.advance(60 * SECOND);
        assertThat(viewOf(3).size(), equalTo(11));
        assertThat(cutOff, equalTo(Set.of(id(3))));
        unreachable.clear();
        stepper.advance(10 * SECOND);
        assertThat(cutOff, is(empty()));
        assertThat(statesOf(3).size(), equalTo(11));
        assertThat(statesOf(3), everyItem(is(MemberState.ALIVE)));
    }

    @Test
    void aShortSilenceIsRefutedWithAHigherIncarnation() {
        start(12);
        stepper.advance(10 * SECOND);
        unreachable.add(id(3));
        stepper.advance(3 * SECOND);
        unreachable.clear();
        stepper.advance(4 * SECOND);
        assertThat(statesOf(3).size(), equalTo(11));
        assertThat(statesOf(3), everyItem(is(MemberState.ALIVE)));
        Member known =
                viewOf(0).stream()
                        .filter(m -> m.instance().equals(id(3)))
                        .findFirst()
                        .orElseThrow();
        assertThat(known.incarnation(), greaterThan(1L));
    }

    @Test
    void aLeavingInstanceIsKnownAsLeavingEverywhere() {
        start(50);
        stepper.advance(5 * SECOND);
        tell(7, new MembershipEvent.LeaveRequested());
        stepper.advance(6 * SECOND);
        assertThat(statesOf(7).size(), equalTo(49));
        assertThat(statesOf(7), everyItem(is(MemberState.LEAVING)));
    }

    @Test
    void anUnlistedInstanceBecomesKnownThroughTheOneThatItContacts() {
        start(12);
        stepper.advance(3 * SECOND);
        startOne(12);
        tell(12, new MembershipEvent.InstancesListed(List.of(member(0, 0))));
        stepper.advance(8 * SECOND);
        assertThat(statesOf(12).size(), equalTo(12));
    }

    @Test
    void messagesPerInstanceGrowWithTheLogarithmAndStaySmall() {
        start(200);
        stepper.advance(10 * SECOND);
        // The start of 200 instances at once must not keep the messages large afterwards.
        sizes.clear();
        sent = 0;
        stepper.advance(10 * SECOND);
        assertThat(sizes, everyItem(is(0)));
        inboxes.values().forEach(inbox -> inbox.emit(new MembershipEvent.LeaveRequested()));
        stepper.advance(2 * SECOND);
        assertThat(sent, lessThanOrEqualTo(200 * 12 * 2 * 9));
        assertThat(sizes, everyItem(lessThanOrEqualTo(ChangeQueue.MAX_CHANGES + 1)));
    }
}

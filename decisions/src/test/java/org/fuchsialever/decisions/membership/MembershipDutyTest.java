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

/** Guards against lost members, false removals and traffic that grows quadratically. */
class MembershipDutyTest {
    private static final long SECOND = 1_000_000_000L;

    private final DutyStepper mStepper = new DutyStepper(new ManualTimeSource(0));
    private final Map<InstanceId, ActionSink<MembershipEvent>> mInboxes = new HashMap<>();
    private final Map<InstanceId, List<Member>> mViews = new HashMap<>();
    private final Set<InstanceId> mIsolated = new HashSet<>();
    private final Set<InstanceId> mUnreachable = new HashSet<>();
    private final List<Integer> mSizes = new ArrayList<>();
    private int mSent;

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
        mInboxes.values().forEach(inbox -> inbox.emit(listed));
    }

    private void startOne(int number) {
        InstanceId self = id(number);
        MembershipDuty duty =
                new MembershipDuty(member(number, 1), new SplittableRandom(91 + number), 0);
        mInboxes.put(self, mStepper.add(duty, action -> perform(self, action)));
    }

    private void perform(InstanceId self, MembershipAction action) {
        if (action instanceof MembershipAction.ViewChanged view) {
            mViews.put(self, view.members());
            if (view.isolated()) {
                mIsolated.add(self);
            } else {
                mIsolated.remove(self);
            }
        } else if (action instanceof MembershipAction.SendHeartbeat send) {
            mSent++;
            mSizes.add(send.heartbeat().changes().size());
            ActionSink<MembershipEvent> inbox = mInboxes.get(send.receiver());
            if (inbox != null
                    && !mUnreachable.contains(self)
                    && !mUnreachable.contains(send.receiver())) {
                inbox.emit(new MembershipEvent.HeartbeatReceived(send.heartbeat()));
            }
        }
    }

    private void send(int number, MembershipEvent event) {
        Objects.requireNonNull(mInboxes.get(id(number))).emit(event);
    }

    private List<Member> viewOf(int number) {
        return Objects.requireNonNull(mViews.get(id(number)));
    }

    private List<MemberState> statesOf(int number) {
        return mViews.entrySet().stream()
                .filter(view -> !mUnreachable.contains(view.getKey()))
                .flatMap(view -> view.getValue().stream())
                .filter(member -> member.instance().equals(id(number)))
                .map(Member::state)
                .toList();
    }

    @Test
    void aDeadInstanceIsFirstSuspectedAndThenRemovedEverywhere() {
        start(12);
        mStepper.advance(10 * SECOND);
        mUnreachable.add(id(3));
        mStepper.advance(4 * SECOND);
        assertThat(statesOf(3).size(), equalTo(11));
        assertThat(statesOf(3), everyItem(is(MemberState.SUSPECT)));
        mStepper.advance(10 * SECOND);
        assertThat(statesOf(3), is(empty()));
    }

    @Test
    void anInstanceThatIsCutOffRemovesNobodyAndComesBack() {
        start(12);
        mStepper.advance(10 * SECOND);
        mUnreachable.add(id(3));
        mStepper.advance(60 * SECOND);
        assertThat(viewOf(3).size(), equalTo(11));
        assertThat(mIsolated, equalTo(Set.of(id(3))));
        mUnreachable.clear();
        mStepper.advance(10 * SECOND);
        assertThat(mIsolated, is(empty()));
        assertThat(statesOf(3).size(), equalTo(11));
        assertThat(statesOf(3), everyItem(is(MemberState.ALIVE)));
    }

    @Test
    void aShortSilenceIsRefutedWithAHigherIncarnation() {
        start(12);
        mStepper.advance(10 * SECOND);
        mUnreachable.add(id(3));
        mStepper.advance(3 * SECOND);
        mUnreachable.clear();
        mStepper.advance(4 * SECOND);
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
        mStepper.advance(5 * SECOND);
        send(7, new MembershipEvent.LeaveRequested());
        mStepper.advance(6 * SECOND);
        assertThat(statesOf(7).size(), equalTo(49));
        assertThat(statesOf(7), everyItem(is(MemberState.LEAVING)));
    }

    @Test
    void anUnlistedInstanceBecomesKnownThroughTheOneThatItContacts() {
        start(12);
        mStepper.advance(3 * SECOND);
        startOne(12);
        send(12, new MembershipEvent.InstancesListed(List.of(member(0, 0))));
        mStepper.advance(8 * SECOND);
        assertThat(statesOf(12).size(), equalTo(12));
    }

    @Test
    void messagesPerInstanceGrowWithTheLogarithmAndStaySmall() {
        start(200);
        mStepper.advance(10 * SECOND);
        // After 200 instances start at once, messages must become small again.
        mSizes.clear();
        mSent = 0;
        mStepper.advance(10 * SECOND);
        assertThat(mSizes, everyItem(is(0)));
        mInboxes.values().forEach(inbox -> inbox.emit(new MembershipEvent.LeaveRequested()));
        mStepper.advance(2 * SECOND);
        assertThat(mSent, lessThanOrEqualTo(200 * 12 * 2 * 9));
        assertThat(mSizes, everyItem(lessThanOrEqualTo(ChangeQueue.MAX_CHANGES + 1)));
    }
}

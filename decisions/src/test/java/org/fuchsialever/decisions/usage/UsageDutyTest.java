package org.fuchsialever.decisions.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.usage.UsageAction.Reason;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against usage that is counted twice, lost unreported, or held without a limit. */
class UsageDutyTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MINUTE_MILLIS = 60_000;
    private static final StartId SELF = start("node-1");
    private static final StartId OTHER = start("node-2");
    private static final WindowId WINDOW = new WindowId(0);
    private static final UsageCounts CALL = new UsageCounts(1, 10, 100);
    private static final UsageSettings SETTINGS =
            new UsageSettings(MINUTE_MILLIS, 3 * MINUTE_MILLIS, 30_000, 2, 1);

    private final List<UsageAction> mActions = new ArrayList<>();
    private final DutyStepper mStepper = new DutyStepper(new ManualTimeSource(0));
    private final ActionSink<UsageEvent> mDuty =
            mStepper.add(
                    new UsageDuty(SELF, new FailureDomain("d1"), SETTINGS, 0, 10 * SECOND),
                    mActions::add);

    @Test
    void handsTotalsOverToAPeerInAnotherFailureDomain() {
        send(
                new UsageEvent.PeersListed(List.of(peer("near", "d1"), peer("far", "d2"))),
                used(0, "alba"));
        mStepper.advance(SECOND);
        UsageAction.SendHandover sent = only(UsageAction.SendHandover.class);
        assertThat(sent.receiver(), equalTo(new InstanceId("far")));
        assertThat(sent.totals(), equalTo(Map.of(key("alba"), CALL)));
    }

    @Test
    void writesAHandoverOnceItsOwnerIsSilentAndADoubledOneChangesNothing() {
        UsageEvent.HandoverReceived handover = handover(OTHER, 1, CALL);
        send(handover, handover);
        mStepper.advance(6 * SECOND);
        UsageAction.WriteRow write = only(UsageAction.WriteRow.class);
        assertThat(write.owner(), equalTo(OTHER));
        assertThat(write.totals().of(WINDOW), equalTo(Map.of(key("alba"), CALL)));
    }

    @Test
    void forgetsAHandoverWhoseOwnerHasWrittenItsTotals() {
        send(handover(OTHER, 1, CALL), new UsageEvent.HandoverReceived(OTHER, WINDOW, 2, Map.of()));
        mStepper.advance(30 * SECOND);
        assertThat(all(UsageAction.WriteRow.class), empty());
    }

    @Test
    void anOlderHandoverLowersNothing() {
        send(handover(OTHER, 2, CALL.plus(CALL)), handover(OTHER, 1, CALL));
        mStepper.advance(6 * SECOND);
        UsageAction.WriteRow write = only(UsageAction.WriteRow.class);
        assertThat(write.totals().of(WINDOW), equalTo(Map.of(key("alba"), CALL.plus(CALL))));
    }

    @Test
    void aLateAnswerToARepeatedWriteDoesNotMarkNewerChangesAsWritten() {
        send(used(0, "alba"));
        mStepper.advance(10 * SECOND);
        long firstChange = only(UsageAction.WriteRow.class).change();
        send(used(0, "alba"));
        mStepper.advance(20 * SECOND);
        assertThat(all(UsageAction.WriteRow.class), hasSize(2));
        send(new UsageEvent.RowCommitted(SELF, 5, firstChange));
        mStepper.advance(10 * SECOND);
        assertThat(all(UsageAction.WriteRow.class), hasSize(3));
    }

    @Test
    void countsWhatItCannotHold() {
        send(used(0, "a"), used(0, "b"), used(0, "c"));
        send(handover(OTHER, 1, CALL), handover(start("node-3"), 1, CALL));
        assertThat(
                all(UsageAction.Lost.class),
                contains(
                        new UsageAction.Lost(Reason.TOO_MANY_TOTALS, 1),
                        new UsageAction.Lost(Reason.TOO_MANY_HANDOVERS, 1)));
    }

    @Test
    void countsAWindowThatBecameTooOldBeforeItWasWritten() {
        send(used(0, "a"), used(4 * MINUTE_MILLIS, "a"));
        mStepper.advance(10 * SECOND);
        assertThat(
                all(UsageAction.Lost.class),
                contains(new UsageAction.Lost(Reason.WINDOW_EXPIRED, 1)));
    }

    @Test
    void isStoppedOnlyWhenAllTotalsAreWritten() {
        send(used(0, "alba"), new UsageEvent.Stop());
        assertThat(all(UsageAction.Stopped.class).isEmpty(), is(true));
        long change = only(UsageAction.WriteRow.class).change();
        send(new UsageEvent.RowCommitted(SELF, 1, change));
        assertThat(all(UsageAction.Stopped.class), hasSize(1));
    }

    private void send(UsageEvent... events) {
        for (UsageEvent event : events) {
            mDuty.emit(event);
        }
        mStepper.runPending();
    }

    private <T extends UsageAction> List<T> all(Class<T> type) {
        return mActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private <T extends UsageAction> T only(Class<T> type) {
        assertThat(all(type), hasSize(1));
        return all(type).get(0);
    }

    private static UsageEvent used(long wallMillis, String team) {
        return new UsageEvent.Used(wallMillis, key(team), CALL);
    }

    private static UsageEvent.HandoverReceived handover(
            StartId owner, long sequence, UsageCounts counts) {
        return new UsageEvent.HandoverReceived(
                owner, WINDOW, sequence, Map.of(key("alba"), counts));
    }

    private static UsageEvent.Peer peer(String name, String domain) {
        return new UsageEvent.Peer(new InstanceId(name), new FailureDomain(domain));
    }

    private static UsageKey key(String team) {
        return new UsageKey(new TeamName(team), new RouteName("chat"), UsageClass.COMPLETED);
    }

    private static StartId start(String instance) {
        return new StartId(new InstanceId(instance), "s1");
    }
}

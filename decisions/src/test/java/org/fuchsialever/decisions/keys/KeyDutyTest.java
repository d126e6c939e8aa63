package org.fuchsialever.decisions.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.keys.KeyAction.AskPeers;
import org.fuchsialever.decisions.keys.KeyAction.BroadcastWithdrawals;
import org.fuchsialever.decisions.keys.KeyAction.EndAllKeyedCalls;
import org.fuchsialever.decisions.keys.KeyAction.EndCallsOfKey;
import org.fuchsialever.decisions.keys.KeyAction.PublishKeyTable;
import org.fuchsialever.decisions.keys.KeyAction.PublishKeysForPeers;
import org.fuchsialever.decisions.keys.KeyAction.ReadKeys;
import org.fuchsialever.decisions.keys.KeyAction.StoreWithdrawal;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.junit.jupiter.api.Test;

/** Guards against a withdrawn key that becomes valid again, and keyed calls with stale keys. */
class KeyDutyTest {
    private static final String SECRET = "00112233445566778899aabbccddeeff";
    private static final KeyId KEY = new KeyId("a");

    private final KeyDuty mDuty = newDuty();
    private final List<KeyAction> mActions = new ArrayList<>();
    private KeyView mView = KeyView.NONE;
    private long mNow;

    @Test
    void refusesKeyedCallsUntilKeysWereRead() {
        assertThat(mView.usable(), is(false));
        send(read(row(1, false)));

        assertThat(mView.usable(), is(true));
        assertThat(accepts(), is(true));
    }

    @Test
    void endsRunningCallsWhenTheTableShowsAWithdrawal() {
        send(read(row(1, false)));
        send(read(row(2, true)));

        assertThat(accepts(), is(false));
        assertThat(mActions, hasItem(new EndCallsOfKey(KEY)));
    }

    @Test
    void keepsAWithdrawalWhenAStaleReadArrivesLate() {
        send(read(row(1, false)));
        send(new KeyEvent.OperatorWithdrawal(KEY));
        send(read(row(1, false)));
        assertThat(accepts(), is(false));

        // Not even a newer row without the withdrawal reverts it.
        send(read(row(9, false)));
        assertThat(accepts(), is(false));
    }

    @Test
    void storesAndSpreadsAnOperatorsWithdrawalAtOnce() {
        send(read(row(1, false)));
        mActions.clear();
        send(new KeyEvent.OperatorWithdrawal(KEY));

        assertThat(
                mActions,
                contains(
                        new EndCallsOfKey(KEY),
                        new BroadcastWithdrawals(Set.of(KEY)),
                        new StoreWithdrawal(KEY)));
    }

    @Test
    void storesAWithdrawalAgainUntilTheTableServiceHasTakenIt() {
        send(read(row(1, false)));
        send(new KeyEvent.OperatorWithdrawal(KEY));
        poll();
        assertThat(mActions, hasItem(new StoreWithdrawal(KEY)));
        send(new KeyEvent.WithdrawalStored(KEY));
        poll();

        assertThat(mActions, not(hasItem(new StoreWithdrawal(KEY))));
    }

    @Test
    void storesAWithdrawalOfAPeerOnlyWhenTheTableLacksItForSomePolls() {
        send(read(row(1, false)));
        send(new KeyEvent.PeerWithdrawals(Set.of(KEY)));
        assertThat(mActions, not(hasItem(new StoreWithdrawal(KEY))));
        for (int i = 0; i < 4; i++) {
            poll();
            assertThat(mActions, not(hasItem(new StoreWithdrawal(KEY))));
        }
        poll();
        assertThat(mActions, hasItem(new StoreWithdrawal(KEY)));
    }

    @Test
    void doesNotStoreAWithdrawalOfAPeerThatTheTableShows() {
        send(read(row(1, false)));
        send(new KeyEvent.PeerWithdrawals(Set.of(KEY)));
        send(read(row(2, true)));
        for (int i = 0; i < 8; i++) {
            poll();
            assertThat(mActions, not(hasItem(new StoreWithdrawal(KEY))));
        }
    }

    @Test
    void refusesAKeyThatIsGrantedAfterItsWithdrawalArrived() {
        send(new KeyEvent.PeerWithdrawals(Set.of(KEY)));
        send(read(row(1, false)));

        assertThat(accepts(), is(false));
    }

    @Test
    void refusesKeyedCallsWhenNeitherTableServiceNorMajorityIsReachable() {
        send(read(row(1, false)));
        send(new KeyEvent.MembershipChanged(12, 6));
        advance(Duration.ofMillis(4_999));
        assertThat(mView.usable(), is(true));
        advance(Duration.ofMillis(1));

        assertThat(mView.usable(), is(false));
        assertThat(mActions, hasItem(new EndAllKeyedCalls()));
    }

    @Test
    void wakesAtTheFreshnessBoundEvenBetweenTwoPolls() {
        send(read(row(1, false)));
        mNow = TimeUnit.MILLISECONDS.toNanos(4_500);
        mDuty.onTimer(mNow, this::apply);

        assertThat(mDuty.nextTimerNanos(), is(TimeUnit.SECONDS.toNanos(5)));
    }

    @Test
    void continuesThroughAnOutageOfTheTableServiceWhileAMajorityIsReachable() {
        send(read(row(1, false)));
        send(new KeyEvent.MembershipChanged(12, 7));
        advance(Duration.ofHours(1));
        assertThat(mView.usable(), is(true));

        send(new KeyEvent.OperatorWithdrawal(KEY));
        assertThat(accepts(), is(false));
        send(new KeyEvent.MembershipChanged(12, 6));
        advance(Duration.ofSeconds(5));
        assertThat(mView.usable(), is(false));
    }

    @Test
    void countsFreshnessFromTheMomentOfAsking() {
        send(read(row(1, false)));
        mNow = TimeUnit.SECONDS.toNanos(6);
        // The read was sent at 0 s and took 6 s, so it may lack later withdrawals.
        send(new KeyEvent.KeysRead(List.of(), 0));

        assertThat(mView.usable(), is(false));
    }

    @Test
    void servesAgainWhenTheTableServiceReturns() {
        send(read(row(1, false)));
        advance(Duration.ofSeconds(20));
        assertThat(mView.usable(), is(false));
        send(new KeyEvent.KeysRead(List.of(), mNow));

        assertThat(mView.usable(), is(true));
    }

    @Test
    void startsFromPeersWhenTheTableServiceIsDown() {
        send(new KeyEvent.ReadFailed());
        assertThat(mActions, hasItem(new AskPeers()));
        send(new KeyEvent.MembershipChanged(9, 9));
        send(peer("p1", "fd-1", row(1, false), Set.of()));
        assertThat(mView.usable(), is(false));
        send(peer("p2", "fd-2", row(1, false), Set.of(KEY)));

        assertThat(mView.usable(), is(true));
        assertThat(accepts(), is(false));
    }

    @Test
    void startsFromItsOnlyPeerWhenTheTableServiceIsDown() {
        send(new KeyEvent.ReadFailed());
        send(new KeyEvent.PeersListed(1));
        send(peer("p1", "fd-1", row(1, false), Set.of()));

        assertThat(mView.usable(), is(true));
    }

    @Test
    void givesPeersNoKeysBeforeItKnowsThem() {
        mDuty.onEvent(new KeyEvent.PeerWithdrawals(Set.of(KEY)), mNow, mActions::add);

        assertThat(mActions.stream().anyMatch(PublishKeysForPeers.class::isInstance), is(false));
    }

    @Test
    void asksOnlyForRowsThatItDoesNotKnow() {
        send(read(row(7, false)));
        poll();

        assertThat(mActions, hasItem(new ReadKeys(7)));
    }

    @Test
    void neverAcceptsAWithdrawnKeyUnderAnyOrderOfMessages() {
        SplittableRandom random = new SplittableRandom(77);
        for (int run = 0; run < 200; run++) {
            KeyDuty any = newDuty();
            List<KeyAction> seen = new ArrayList<>();
            boolean withdrawn = false;
            for (int step = 0; step < 40; step++) {
                KeyEvent event = randomEvent(random);
                withdrawn |= names(event);
                any.onEvent(event, step, seen::add);
                if (withdrawn) {
                    assertThat(latest(seen).table().check(text(), 0).isLeft(), is(true));
                }
            }
            assertThat(seen, not(empty()));
        }
    }

    private static boolean names(KeyEvent event) {
        return event instanceof KeyEvent.OperatorWithdrawal
                || event instanceof KeyEvent.PeerWithdrawals
                || (event instanceof KeyEvent.KeysRead keys
                        && keys.rows().get(0).key().withdrawn());
    }

    private static KeyEvent randomEvent(SplittableRandom random) {
        long version = random.nextInt(1, 9);
        List<KeyEvent> events =
                List.of(
                        new KeyEvent.KeysRead(List.of(row(version, false)), 0),
                        new KeyEvent.KeysRead(List.of(row(version, false)), 0),
                        new KeyEvent.KeysRead(List.of(row(version, true)), 0),
                        new KeyEvent.ReadFailed(),
                        new KeyEvent.PeerWithdrawals(Set.of(KEY)),
                        new KeyEvent.OperatorWithdrawal(KEY),
                        new KeyEvent.WithdrawalStored(KEY),
                        peer("p" + version, "fd-" + version, row(version, false), Set.of()));
        return events.get(random.nextInt(events.size()));
    }

    private static KeyView latest(List<KeyAction> actions) {
        KeyView latest = KeyView.NONE;
        for (KeyAction action : actions) {
            if (action instanceof PublishKeyTable change) {
                latest = change.view();
            }
        }
        return latest;
    }

    private boolean accepts() {
        return mView.table().check(text(), 0).isRight();
    }

    private void poll() {
        mActions.clear();
        mNow = mDuty.nextTimerNanos();
        mDuty.onTimer(mNow, this::apply);
    }

    private void advance(Duration duration) {
        long end = mNow + duration.toNanos();
        while (mDuty.nextTimerNanos() <= end) {
            mNow = mDuty.nextTimerNanos();
            mDuty.onTimer(mNow, this::apply);
        }
        mNow = end;
    }

    private void send(KeyEvent event) {
        mDuty.onEvent(event, mNow, this::apply);
    }

    private void apply(KeyAction action) {
        if (action instanceof PublishKeyTable change) {
            mView = change.view();
        } else if (!(action instanceof PublishKeysForPeers)) {
            mActions.add(action);
        }
    }

    private static KeyDuty newDuty() {
        return new KeyDuty(
                Duration.ofSeconds(1), Duration.ofSeconds(5), 0, InvariantMonitor.throwing());
    }

    private KeyEvent read(KeyRow row) {
        return new KeyEvent.KeysRead(List.of(row), mNow);
    }

    private static KeyEvent peer(String name, String domain, KeyRow row, Set<KeyId> withdrawals) {
        return new KeyEvent.PeerKeys(
                new InstanceId(name), new FailureDomain(domain), List.of(row), withdrawals);
    }

    private static KeyRow row(long version, boolean withdrawn) {
        KeyRecord key =
                new KeyRecord(KEY, new TeamName("alba"), KeyHash.of("5a17", SECRET), 0, withdrawn);
        return new KeyRow(version, key);
    }

    private static String text() {
        return "fl_" + KEY + "_" + SECRET;
    }
}

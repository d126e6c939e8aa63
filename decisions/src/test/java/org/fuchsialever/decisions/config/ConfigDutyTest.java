package org.fuchsialever.decisions.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.config.ConfigAction.AskPeers;
import org.fuchsialever.decisions.config.ConfigAction.ConfirmVersion;
import org.fuchsialever.decisions.config.ConfigAction.PublishSnapshot;
import org.fuchsialever.decisions.config.ConfigAction.PublishStatus;
import org.fuchsialever.decisions.config.ConfigAction.RaiseAlarm;
import org.fuchsialever.decisions.config.ConfigAction.ReadSnapshot;
import org.fuchsialever.decisions.config.ConfigAction.ReadVersion;
import org.fuchsialever.decisions.config.ConfigStatus.Freshness;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that moves back, is missed, or is served unproven. */
class ConfigDutyTest {
    private static final String ROUTES =
            "[route chat]\npath = /chat\npool = small\naccess = open\n";
    private static final String POOLS =
            """
            [pool small]
            [upstream e1]
            pool = small
            address = 127.0.0.1
            port = 9001
            failure-domain = fd-1
            """;

    private final ConfigDuty mDuty =
            new ConfigDuty(Duration.ofSeconds(1), 0, InvariantMonitor.throwing());
    private final List<ConfigAction> mActions = new ArrayList<>();
    private ConfigStatus mStatus = ConfigStatus.NONE;

    @Test
    void isReadyOnlyAfterTheVersionWasProven() {
        send(new ConfigEvent.VersionRead(3, 30));
        assertThat(mActions, contains(new ReadSnapshot(3), new ConfirmVersion(3, 30)));

        send(good(3));
        assertThat(mStatus, is(new ConfigStatus(3, 3, Freshness.UNPROVEN, false)));
        send(new ConfigEvent.VersionConfirmed(3));
        assertThat(mStatus, is(new ConfigStatus(3, 3, Freshness.PROVEN, true)));
    }

    @Test
    void isNotReadyWhenARestartedInstanceReadAStaleVersion() {
        send(new ConfigEvent.VersionRead(3, 30));
        send(good(3));
        // The conditional commit conflicts, and the conflict returns the latest row.
        send(new ConfigEvent.VersionRead(4, 40));
        assertThat(mActions, hasItem(new ConfirmVersion(4, 40)));
        send(new ConfigEvent.VersionConfirmed(4));
        assertThat(mStatus.ready(), is(false));

        send(good(4));
        assertThat(mStatus, is(new ConfigStatus(4, 4, Freshness.PROVEN, true)));
    }

    @Test
    void ignoresAStaleReadAfterANewerVersion() {
        start(5);
        send(new ConfigEvent.VersionRead(4, 40));
        send(good(4));

        assertThat(published(), contains(5L));
        assertThat(mStatus.ready(), is(true));
    }

    @Test
    void ignoresASnapshotThatArrivesLate() {
        send(new ConfigEvent.VersionRead(4, 40));
        send(new ConfigEvent.VersionRead(5, 50));
        send(good(5));
        send(good(4));

        assertThat(published(), contains(5L));
    }

    @Test
    void isNotReadyWhileAPeerServesANewerVersion() {
        start(5);
        send(new ConfigEvent.PeerVersion(6));

        assertThat(mActions, hasItem(new ReadSnapshot(6)));
        assertThat(mStatus.ready(), is(false));
        send(good(6));
        assertThat(mStatus.ready(), is(true));
    }

    @Test
    void keepsTheLastGoodSnapshotAndRaisesOneAlarmForAMalformedOne() {
        start(5);
        mActions.clear();
        String text = new SnapshotText(6, ROUTES + "colour = red\n", POOLS).encode();
        send(new ConfigEvent.VersionRead(6, 60));
        send(new ConfigEvent.SnapshotRead(6, text));
        send(new ConfigEvent.SnapshotRead(6, text));

        assertThat(published(), is(empty()));
        assertThat(alarms("settings.unknown-key"), is(1L));
        assertThat(mStatus, is(new ConfigStatus(5, 6, Freshness.PROVEN, true)));
    }

    @Test
    void servesTheLastGoodSnapshotWhenARestartedInstanceFindsAMalformedOne() {
        send(new ConfigEvent.VersionRead(6, 60));
        send(new ConfigEvent.VersionConfirmed(6));
        send(new ConfigEvent.SnapshotRead(6, "damaged"));
        assertThat(mActions, hasItem(new ReadSnapshot(5)));
        send(new ConfigEvent.SnapshotRead(5, "damaged, too"));
        send(good(4));

        assertThat(published(), contains(4L));
        assertThat(mStatus, is(new ConfigStatus(4, 6, Freshness.PROVEN, true)));
    }

    @Test
    void refusesASnapshotWhoseDigestDoesNotMatch() {
        String changed = text(6).replace("9001", "9002");
        send(new ConfigEvent.VersionRead(6, 60));
        send(new ConfigEvent.SnapshotRead(6, changed));

        assertThat(published(), is(empty()));
        assertThat(alarms("snapshot.damaged"), is(1L));
    }

    @Test
    void refusesASnapshotOfAnotherVersion() {
        send(new ConfigEvent.VersionRead(6, 60));
        send(new ConfigEvent.SnapshotRead(6, text(5)));

        assertThat(alarms("snapshot.wrong-version"), is(1L));
    }

    @Test
    void asksAgainForASnapshotWhoseReadFailed() {
        send(new ConfigEvent.VersionRead(6, 60));
        send(new ConfigEvent.ReadFailed());
        mActions.clear();
        mDuty.onTimer(1_000_000_000L, mActions::add);

        assertThat(mActions, contains(new ReadVersion(), new ReadSnapshot(6)));
    }

    @Test
    void startsFromTwoPeersOfDifferentDomainsWhileTheTableServiceIsDown() {
        send(new ConfigEvent.ReadFailed());
        assertThat(mActions, contains(new AskPeers()));
        send(new ConfigEvent.PeersListed(9));
        send(peer("a", "fd-1", 7));
        send(peer("b", "fd-1", 7));
        assertThat(published(), is(empty()));
        send(peer("c", "fd-2", 6));

        assertThat(published(), contains(7L));
        assertThat(mStatus, is(new ConfigStatus(7, 7, Freshness.FROM_PEERS, true)));
    }

    @Test
    void startsFromAllListedPeersWhenThereAreFewer() {
        send(new ConfigEvent.ReadFailed());
        send(peer("a", "fd-1", 7));
        assertThat(published(), is(empty()));
        send(new ConfigEvent.PeersListed(1));

        assertThat(published(), contains(7L));
    }

    @Test
    void provesItsVersionWhenTheTableServiceReturnsAfterADegradedStart() {
        send(new ConfigEvent.ReadFailed());
        send(new ConfigEvent.PeersListed(1));
        send(peer("a", "fd-1", 7));
        send(new ConfigEvent.VersionRead(7, 70));
        assertThat(mActions, hasItem(new ConfirmVersion(7, 70)));
        send(new ConfigEvent.VersionConfirmed(7));

        assertThat(mStatus.freshness(), is(Freshness.PROVEN));
    }

    @Test
    void takesANewerVersionFromAPeerDuringAnOutage() {
        start(5);
        send(new ConfigEvent.PeerVersion(6));
        mActions.clear();
        send(new ConfigEvent.ReadFailed());
        assertThat(mActions, contains(new AskPeers()));
        send(peer("a", "fd-1", 6));

        assertThat(published(), contains(6L));
        assertThat(mStatus.ready(), is(true));
    }

    @Test
    void neverGoesBackUnderAnyOrderOfMessages() {
        SplittableRandom random = new SplittableRandom(20_261);
        for (int run = 0; run < 200; run++) {
            ConfigDuty any = new ConfigDuty(Duration.ofSeconds(1), 0, InvariantMonitor.throwing());
            List<ConfigAction> seen = new ArrayList<>();
            for (int step = 0; step < 60; step++) {
                any.onEvent(randomEvent(random), step, seen::add);
            }
            List<Long> versions = published(seen);
            assertThat(versions, is(versions.stream().sorted().distinct().toList()));
            assertThat(versions, not(empty()));
        }
    }

    private static ConfigEvent randomEvent(SplittableRandom random) {
        long version = random.nextInt(1, 12);
        List<ConfigEvent> events =
                List.of(
                        new ConfigEvent.VersionRead(version, version * 10),
                        new ConfigEvent.VersionConfirmed(version),
                        new ConfigEvent.SnapshotRead(version, "damaged"),
                        new ConfigEvent.PeerVersion(version),
                        new ConfigEvent.ReadFailed(),
                        peer("p" + version % 3, "fd-" + version % 2, version),
                        good(version),
                        good(version));
        return events.get(random.nextInt(events.size()));
    }

    private void start(long version) {
        send(new ConfigEvent.VersionRead(version, version * 10));
        send(good(version));
        send(new ConfigEvent.VersionConfirmed(version));
    }

    private void send(ConfigEvent event) {
        mDuty.onEvent(
                event,
                0,
                action -> {
                    if (action instanceof PublishStatus change) {
                        mStatus = change.status();
                    } else {
                        mActions.add(action);
                    }
                });
    }

    private List<Long> published() {
        return published(mActions);
    }

    private static List<Long> published(List<ConfigAction> actions) {
        return actions.stream()
                .filter(PublishSnapshot.class::isInstance)
                .map(action -> ((PublishSnapshot) action).snapshot().version())
                .toList();
    }

    private long alarms(String messageKey) {
        return mActions.stream()
                .filter(RaiseAlarm.class::isInstance)
                .flatMap(action -> ((RaiseAlarm) action).findings().stream())
                .filter(finding -> finding.messageKey().equals(messageKey))
                .count();
    }

    private static ConfigEvent peer(String name, String domain, long version) {
        return new ConfigEvent.PeerSnapshot(
                new InstanceId(name), new FailureDomain(domain), text(version));
    }

    private static ConfigEvent good(long version) {
        return new ConfigEvent.SnapshotRead(version, text(version));
    }

    private static String text(long version) {
        return new SnapshotText(version, ROUTES, POOLS).encode();
    }
}

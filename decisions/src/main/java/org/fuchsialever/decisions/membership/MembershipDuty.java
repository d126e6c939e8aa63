package org.fuchsialever.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * View of the other instances. Each second, {@code log2(n)+1} peers are probed with a heartbeat
 * that they answer. A peer that did not answer by the next round is suspected; the suspicion
 * travels with the heartbeats, and the peer refutes it with a higher incarnation number or is
 * removed. An instance whose probes mostly remain unanswered takes itself for cut off and suspects
 * nobody.
 */
public final class MembershipDuty implements Duty<MembershipEvent, MembershipAction> {
    private static final long ROUND = TimeUnit.SECONDS.toNanos(1);

    /** Time between reads of the list; one read a round until the first answer. */
    private static final long LIST_INTERVAL = TimeUnit.SECONDS.toNanos(5);

    private static final long SUSPICION = TimeUnit.SECONDS.toNanos(5);

    /** Rounds by which an instance judges whether it is cut off. */
    private static final int JUDGED_ROUNDS = 3;

    private static final int SUSPECTS_PROBED = 2;

    /** Each change is passed on this often per step of the logarithm of the member count. */
    private static final int REPEATS = 3;

    private final Map<InstanceId, Peer> peers = new TreeMap<>();
    private final ChangeQueue changes = new ChangeQueue();
    private final PeerRotation rotation;
    private final Set<InstanceId> unanswered = new LinkedHashSet<>();
    private final Deque<Round> rounds = new ArrayDeque<>();
    private Member self;
    private long configVersion;
    private long keyVersion;
    private boolean cutOff;
    private boolean viewChanged;
    private int probed;
    private long nextRound = NO_TIMER;
    private long nextList;

    /**
     * Creates a duty that knows no other instance.
     *
     * @param self this instance, with incarnation number 1
     * @param random chooses peers
     * @param nowNanos monotonic time, at which the list of instances is read first
     */
    public MembershipDuty(Member self, RandomGenerator random, long nowNanos) {
        this.nextList = nowNanos;
        this.self = self;
        this.rotation = new PeerRotation(self.region(), random);
    }

    @Override
    public String dutyName() {
        return "membership";
    }

    @Override
    public void onEvent(
            MembershipEvent event, long nowNanos, ActionSink<MembershipAction> actions) {
        if (event instanceof MembershipEvent.InstancesListed listed) {
            seed(listed.instances(), nowNanos);
            if (nextRound == NO_TIMER) {
                nextRound = nowNanos;
            }
        } else if (event instanceof MembershipEvent.HeartbeatReceived received) {
            heard(received.heartbeat(), nowNanos, actions);
        } else if (event instanceof MembershipEvent.VersionsChanged versions) {
            configVersion = Math.max(configVersion, versions.configVersion());
            keyVersion = Math.max(keyVersion, versions.keyVersion());
        } else if (event instanceof MembershipEvent.LeaveRequested) {
            self = self.withState(MemberState.LEAVING);
            spread(self);
        }
        publish(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<MembershipAction> actions) {
        if (nowNanos >= nextList) {
            nextList = nowNanos + (nextRound == NO_TIMER ? ROUND : LIST_INTERVAL);
            actions.emit(new MembershipAction.ReadInstances());
        }
        if (nowNanos < nextRound) {
            return;
        }
        // A process that was paused probes anew instead of judging by answers it could not read.
        boolean late = nowNanos - nextRound > ROUND;
        if (late) {
            unanswered.clear();
            probed = 0;
            restartSuspicions(nowNanos);
        }
        judgeRound(nowNanos);
        expire(nowNanos);
        startRound(actions);
        nextRound = late ? nowNanos + ROUND : nextRound + ROUND;
        publish(actions);
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextRound, nextList);
    }

    private void seed(List<Member> listed, long now) {
        Set<InstanceId> names = new HashSet<>();
        for (Member member : listed) {
            names.add(member.instance());
            if (!member.instance().equals(self.instance())
                    && !peers.containsKey(member.instance())) {
                peers.put(member.instance(), new Peer(member));
                viewChanged = true;
            }
        }
        // A removed instance is forgotten once the lagging list no longer names it.
        peers.values()
                .removeIf(
                        peer ->
                                peer.member.state() == MemberState.REMOVED
                                        && !names.contains(peer.member.instance())
                                        && now >= peer.deadline + SUSPICION);
    }

    private void heard(
            PeerMessage.Heartbeat heartbeat, long now, ActionSink<MembershipAction> actions) {
        Member sender = heartbeat.sender();
        if (sender.instance().equals(self.instance())) {
            return;
        }
        unanswered.remove(sender.instance());
        learn(sender, now);
        heartbeat.changes().forEach(change -> learn(change, now));
        if (heartbeat.probe()) {
            answer(sender, actions);
        }
    }

    private void answer(Member sender, ActionSink<MembershipAction> actions) {
        // Probes alone carry news; with news in answers too, 400 members sent 6.8 KB/s each.
        List<Member> news = List.of();
        Peer known = peers.get(sender.instance());
        if (known != null && known.member.replaces(sender)) {
            // Tells the sender that it is suspected or removed, so that it can refute this.
            news = List.of(known.member);
        }
        actions.emit(new MembershipAction.SendHeartbeat(sender.instance(), heartbeat(false, news)));
    }

    private void learn(Member report, long now) {
        if (report.instance().equals(self.instance())) {
            refute(report);
            return;
        }
        Peer peer = peers.get(report.instance());
        if (peer == null) {
            if (report.state().isListed()) {
                peer = new Peer(report);
                peers.put(report.instance(), peer);
                changed(peer, now);
            }
        } else if (report.replaces(peer.member)) {
            // The first report about a listed instance is no news: all learn of it themselves.
            boolean expected =
                    peer.member.incarnation() == 0 && report.state() == peer.member.state();
            peer.member = report;
            if (!expected) {
                changed(peer, now);
            }
        }
    }

    private void refute(Member report) {
        boolean denied =
                report.state() == MemberState.SUSPECT || report.state() == MemberState.REMOVED;
        if (denied && report.incarnation() >= self.incarnation()) {
            self =
                    new Member(
                            self.instance(),
                            self.region(),
                            self.domain(),
                            report.incarnation() + 1,
                            self.state());
            spread(self);
        }
    }

    private void changed(Peer peer, long now) {
        MemberState state = peer.member.state();
        boolean doubted = state == MemberState.SUSPECT || state == MemberState.REMOVED;
        peer.deadline = doubted ? now + SUSPICION : NO_TIMER;
        viewChanged = true;
        spread(peer.member);
    }

    private void spread(Member change) {
        changes.add(change, REPEATS * Math.max(1, PeerRotation.fanOut(peers.size())));
    }

    private void judgeRound(long now) {
        if (probed > 0) {
            rounds.add(new Round(probed, unanswered.size()));
        }
        if (rounds.size() > JUDGED_ROUNDS) {
            rounds.remove();
        }
        int asked = rounds.stream().mapToInt(Round::probed).sum();
        int silent = rounds.stream().mapToInt(Round::silent).sum();
        boolean mostlySilent = silent * 2 > asked || unanswered.size() * 2 > probed;
        if (mostlySilent != cutOff) {
            cutOff = mostlySilent;
            viewChanged = true;
        }
        if (cutOff) {
            restartSuspicions(now);
            return;
        }
        for (InstanceId silentPeer : unanswered) {
            Peer peer = peers.get(silentPeer);
            if (peer != null) {
                suspect(peer, now);
            }
        }
    }

    private void suspect(Peer peer, long now) {
        if (peer.member.state() == MemberState.ALIVE) {
            peer.member = peer.member.withState(MemberState.SUSPECT);
            changed(peer, now);
        } else if (peer.deadline == NO_TIMER) {
            // A leaving instance stays in its own state until it is removed.
            peer.deadline = now + SUSPICION;
        }
    }

    private void restartSuspicions(long now) {
        for (Peer peer : peers.values()) {
            if (peer.deadline != NO_TIMER && peer.member.state().isListed()) {
                peer.deadline = now + SUSPICION;
            }
        }
    }

    /** One pass over all peers per round; cheaper than a timer for each, see ExpiryExperiment. */
    private void expire(long now) {
        for (Peer peer : peers.values()) {
            if (peer.deadline <= now && peer.member.state().isListed()) {
                peer.member = peer.member.withState(MemberState.REMOVED);
                viewChanged = true;
                spread(peer.member);
            }
        }
    }

    private void startRound(ActionSink<MembershipAction> actions) {
        unanswered.clear();
        List<Member> listed = listed();
        int suspects = 0;
        for (Member member : listed) {
            if (member.state() == MemberState.SUSPECT && suspects < SUSPECTS_PROBED) {
                unanswered.add(member.instance());
                suspects++;
            }
        }
        // Probes of suspects come on top and are not judged: their silence is known already.
        List<InstanceId> known = List.copyOf(unanswered);
        unanswered.clear();
        List<InstanceId> chosen = rotation.next(listed);
        for (InstanceId receiver : known) {
            if (!chosen.contains(receiver)) {
                send(receiver, actions);
            }
        }
        chosen.forEach(receiver -> send(receiver, actions));
        unanswered.addAll(chosen);
        probed = chosen.size();
    }

    private void send(InstanceId receiver, ActionSink<MembershipAction> actions) {
        List<Member> news = new ArrayList<>(changes.next());
        Peer peer = peers.get(receiver);
        if (peer != null
                && peer.member.state() == MemberState.SUSPECT
                && !news.contains(peer.member)) {
            news.add(0, peer.member);
        }
        actions.emit(new MembershipAction.SendHeartbeat(receiver, heartbeat(true, news)));
    }

    private PeerMessage.Heartbeat heartbeat(boolean probe, List<Member> news) {
        return new PeerMessage.Heartbeat(self, configVersion, keyVersion, probe, news);
    }

    private List<Member> listed() {
        return peers.values().stream()
                .map(peer -> peer.member)
                .filter(member -> member.state().isListed())
                .toList();
    }

    private void publish(ActionSink<MembershipAction> actions) {
        if (viewChanged) {
            viewChanged = false;
            actions.emit(new MembershipAction.ViewChanged(listed(), cutOff));
        }
    }

    private record Round(int probed, int silent) {}

    private static final class Peer {
        private Member member;
        private long deadline = NO_TIMER;

        Peer(Member member) {
            this.member = member;
        }
    }
}

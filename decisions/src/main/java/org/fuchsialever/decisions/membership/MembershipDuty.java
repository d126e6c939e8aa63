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
 * Failure detector and view of the other instances, similar to SWIM. Every second, {@code
 * log2(n)+1} peers are probed with a heartbeat that requests one in response. A peer that has not
 * responded by the next round is suspected; the suspicion is gossiped with the heartbeats, and the
 * peer refutes it with a higher incarnation number or is removed. An instance most of whose probes
 * get no response considers itself isolated and suspects no other instance.
 */
public final class MembershipDuty implements Duty<MembershipEvent, MembershipAction> {
    private static final long ROUND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time between reads of the instance list; it is read every round until the first result. */
    private static final long LIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long SUSPICION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Number of recent rounds by which an instance decides whether it is isolated. */
    private static final int ISOLATION_ROUNDS = 3;

    private static final int MAX_SUSPECT_PROBES = 2;

    /** Each change is sent this many times the fan-out, which grows as log2 of the members. */
    private static final int SENDS_PER_FAN_OUT = 3;

    private final Map<InstanceId, Peer> peers = new TreeMap<>();
    private final ChangeQueue changes = new ChangeQueue();
    private final PeerRotation rotation;
    private final Set<InstanceId> unanswered = new LinkedHashSet<>();
    private final Deque<Round> rounds = new ArrayDeque<>();
    private Member self;
    private long configVersion;
    private long keyVersion;
    private boolean isolated;
    private boolean viewChanged;
    private int probeCount;
    private long nextRoundNanos = NO_TIMER;
    private long nextListNanos;

    /**
     * Creates a duty that knows no other instance.
     *
     * @param self this instance, with incarnation number 1
     * @param random shuffles the order in which peers are probed
     * @param nowNanos monotonic time, at which the list of instances is read first
     */
    public MembershipDuty(Member self, RandomGenerator random, long nowNanos) {
        this.nextListNanos = nowNanos;
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
            mergeInstanceList(listed.instances(), nowNanos);
            if (nextRoundNanos == NO_TIMER) {
                nextRoundNanos = nowNanos;
            }
        } else if (event instanceof MembershipEvent.HeartbeatReceived received) {
            onHeartbeat(received.heartbeat(), nowNanos, actions);
        } else if (event instanceof MembershipEvent.VersionsChanged versions) {
            configVersion = Math.max(configVersion, versions.configVersion());
            keyVersion = Math.max(keyVersion, versions.keyVersion());
        } else if (event instanceof MembershipEvent.LeaveRequested) {
            self = self.withState(MemberState.LEAVING);
            gossip(self);
        }
        publish(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<MembershipAction> actions) {
        if (nowNanos >= nextListNanos) {
            nextListNanos =
                    nowNanos + (nextRoundNanos == NO_TIMER ? ROUND_NANOS : LIST_INTERVAL_NANOS);
            actions.emit(new MembershipAction.ReadInstances());
        }
        if (nowNanos < nextRoundNanos) {
            return;
        }
        // After a pause of this process, peers are probed again before any of them is suspected:
        // their responses may not have been read yet.
        boolean late = nowNanos - nextRoundNanos > ROUND_NANOS;
        if (late) {
            unanswered.clear();
            probeCount = 0;
            restartSuspicions(nowNanos);
        }
        evaluateRound(nowNanos);
        expire(nowNanos);
        startRound(actions);
        nextRoundNanos = late ? nowNanos + ROUND_NANOS : nextRoundNanos + ROUND_NANOS;
        publish(actions);
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextRoundNanos, nextListNanos);
    }

    private void mergeInstanceList(List<Member> listed, long now) {
        Set<InstanceId> names = new HashSet<>();
        for (Member member : listed) {
            names.add(member.instance());
            if (!member.instance().equals(self.instance())
                    && !peers.containsKey(member.instance())) {
                peers.put(member.instance(), new Peer(member));
                viewChanged = true;
            }
        }
        // A removed instance is dropped once the instance list, which lags, does not contain it.
        peers.values()
                .removeIf(
                        peer ->
                                peer.member.state() == MemberState.REMOVED
                                        && !names.contains(peer.member.instance())
                                        && now >= peer.removalNanos + SUSPICION_TIMEOUT_NANOS);
    }

    private void onHeartbeat(
            PeerMessage.Heartbeat heartbeat, long now, ActionSink<MembershipAction> actions) {
        Member sender = heartbeat.sender();
        if (sender.instance().equals(self.instance())) {
            return;
        }
        unanswered.remove(sender.instance());
        applyReport(sender, now);
        heartbeat.changes().forEach(change -> applyReport(change, now));
        if (heartbeat.probe()) {
            respond(sender, actions);
        }
    }

    private void respond(Member sender, ActionSink<MembershipAction> actions) {
        // Only probes carry changes: with changes in responses too, 400 members sent 6.8 KB/s each.
        List<Member> reports = List.of();
        Peer known = peers.get(sender.instance());
        if (known != null && known.member.replaces(sender)) {
            // The sender is suspected or removed; include this so that it can refute it.
            reports = List.of(known.member);
        }
        actions.emit(
                new MembershipAction.SendHeartbeat(sender.instance(), heartbeat(false, reports)));
    }

    private void applyReport(Member report, long now) {
        if (report.instance().equals(self.instance())) {
            refute(report);
            return;
        }
        Peer peer = peers.get(report.instance());
        if (peer == null) {
            if (report.state().isListed()) {
                peer = new Peer(report);
                peers.put(report.instance(), peer);
                onChange(peer, now);
            }
        } else if (report.replaces(peer.member)) {
            // The first report about a listed instance is not gossiped: every instance learns of it
            // by itself.
            boolean expected =
                    peer.member.incarnation() == 0 && report.state() == peer.member.state();
            peer.member = report;
            if (!expected) {
                onChange(peer, now);
            }
        }
    }

    private void refute(Member report) {
        boolean suspectOrRemoved =
                report.state() == MemberState.SUSPECT || report.state() == MemberState.REMOVED;
        if (suspectOrRemoved && report.incarnation() >= self.incarnation()) {
            self =
                    new Member(
                            self.instance(),
                            self.region(),
                            self.domain(),
                            report.incarnation() + 1,
                            self.state());
            gossip(self);
        }
    }

    private void onChange(Peer peer, long now) {
        MemberState state = peer.member.state();
        boolean suspectOrRemoved = state == MemberState.SUSPECT || state == MemberState.REMOVED;
        peer.removalNanos = suspectOrRemoved ? now + SUSPICION_TIMEOUT_NANOS : NO_TIMER;
        viewChanged = true;
        gossip(peer.member);
    }

    private void gossip(Member change) {
        changes.add(change, SENDS_PER_FAN_OUT * Math.max(1, PeerRotation.fanOut(peers.size())));
    }

    private void evaluateRound(long now) {
        if (probeCount > 0) {
            rounds.add(new Round(probeCount, unanswered.size()));
        }
        if (rounds.size() > ISOLATION_ROUNDS) {
            rounds.remove();
        }
        int probes = rounds.stream().mapToInt(Round::probeCount).sum();
        int unansweredProbes = rounds.stream().mapToInt(Round::unansweredCount).sum();
        boolean mostlyUnanswered =
                unansweredProbes * 2 > probes || unanswered.size() * 2 > probeCount;
        if (mostlyUnanswered != isolated) {
            isolated = mostlyUnanswered;
            viewChanged = true;
        }
        if (isolated) {
            restartSuspicions(now);
            return;
        }
        for (InstanceId receiver : unanswered) {
            Peer peer = peers.get(receiver);
            if (peer != null) {
                suspect(peer, now);
            }
        }
    }

    private void suspect(Peer peer, long now) {
        if (peer.member.state() == MemberState.ALIVE) {
            peer.member = peer.member.withState(MemberState.SUSPECT);
            onChange(peer, now);
        } else if (peer.removalNanos == NO_TIMER) {
            // A leaving instance stays in its own state until it is removed.
            peer.removalNanos = now + SUSPICION_TIMEOUT_NANOS;
        }
    }

    private void restartSuspicions(long now) {
        for (Peer peer : peers.values()) {
            if (peer.removalNanos != NO_TIMER && peer.member.state().isListed()) {
                peer.removalNanos = now + SUSPICION_TIMEOUT_NANOS;
            }
        }
    }

    /** Scans all peers once per round, which is cheaper than timers (see ExpiryExperiment). */
    private void expire(long now) {
        for (Peer peer : peers.values()) {
            if (peer.removalNanos <= now && peer.member.state().isListed()) {
                peer.member = peer.member.withState(MemberState.REMOVED);
                viewChanged = true;
                gossip(peer.member);
            }
        }
    }

    private void startRound(ActionSink<MembershipAction> actions) {
        unanswered.clear();
        List<Member> listed = listed();
        int suspects = 0;
        for (Member member : listed) {
            if (member.state() == MemberState.SUSPECT && suspects < MAX_SUSPECT_PROBES) {
                unanswered.add(member.instance());
                suspects++;
            }
        }
        // Extra probes of suspects do not count towards isolation: they are unresponsive already.
        List<InstanceId> suspectIds = List.copyOf(unanswered);
        unanswered.clear();
        List<InstanceId> chosen = rotation.next(listed);
        for (InstanceId receiver : suspectIds) {
            if (!chosen.contains(receiver)) {
                sendProbe(receiver, actions);
            }
        }
        chosen.forEach(receiver -> sendProbe(receiver, actions));
        unanswered.addAll(chosen);
        probeCount = chosen.size();
    }

    private void sendProbe(InstanceId receiver, ActionSink<MembershipAction> actions) {
        List<Member> reports = new ArrayList<>(changes.next());
        Peer peer = peers.get(receiver);
        if (peer != null
                && peer.member.state() == MemberState.SUSPECT
                && !reports.contains(peer.member)) {
            reports.add(0, peer.member);
        }
        actions.emit(new MembershipAction.SendHeartbeat(receiver, heartbeat(true, reports)));
    }

    private PeerMessage.Heartbeat heartbeat(boolean probe, List<Member> reports) {
        return new PeerMessage.Heartbeat(self, configVersion, keyVersion, probe, reports);
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
            actions.emit(new MembershipAction.ViewChanged(listed(), isolated));
        }
    }

    private record Round(int probeCount, int unansweredCount) {}

    private static final class Peer {
        private Member member;
        private long removalNanos = NO_TIMER;

        Peer(Member member) {
            this.member = member;
        }
    }
}

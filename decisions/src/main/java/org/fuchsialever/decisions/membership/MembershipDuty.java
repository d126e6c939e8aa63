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

    private final Map<InstanceId, Peer> mPeers = new TreeMap<>();
    private final ChangeQueue mChanges = new ChangeQueue();
    private final PeerRotation mRotation;
    private final Set<InstanceId> mUnanswered = new LinkedHashSet<>();
    private final Deque<Round> mRounds = new ArrayDeque<>();
    private Member mSelf;
    private long mConfigVersion;
    private long mKeyVersion;
    private boolean mIsolated;
    private boolean mViewChanged;
    private int mProbeCount;
    private long mNextRoundNanos = NO_TIMER;
    private long mNextListNanos;

    /**
     * Creates a duty that knows no other instance.
     *
     * @param self this instance, with incarnation number 1
     * @param random shuffles the order in which peers are probed
     * @param nowNanos monotonic time, at which the list of instances is read first
     */
    public MembershipDuty(Member self, RandomGenerator random, long nowNanos) {
        mNextListNanos = nowNanos;
        mSelf = self;
        mRotation = new PeerRotation(self.region(), random);
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
            if (mNextRoundNanos == NO_TIMER) {
                mNextRoundNanos = nowNanos;
            }
        } else if (event instanceof MembershipEvent.HeartbeatReceived received) {
            onHeartbeat(received.heartbeat(), nowNanos, actions);
        } else if (event instanceof MembershipEvent.VersionsChanged versions) {
            mConfigVersion = Math.max(mConfigVersion, versions.configVersion());
            mKeyVersion = Math.max(mKeyVersion, versions.keyVersion());
        } else if (event instanceof MembershipEvent.LeaveRequested) {
            mSelf = mSelf.withState(MemberState.LEAVING);
            gossip(mSelf);
        }
        publish(actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<MembershipAction> actions) {
        if (nowNanos >= mNextListNanos) {
            mNextListNanos =
                    nowNanos + (mNextRoundNanos == NO_TIMER ? ROUND_NANOS : LIST_INTERVAL_NANOS);
            actions.emit(new MembershipAction.ReadInstances());
        }
        if (nowNanos < mNextRoundNanos) {
            return;
        }
        // After a pause of this process, peers are probed again before any of them is suspected:
        // their responses may not have been read yet.
        boolean late = nowNanos - mNextRoundNanos > ROUND_NANOS;
        if (late) {
            mUnanswered.clear();
            mProbeCount = 0;
            restartSuspicions(nowNanos);
        }
        evaluateRound(nowNanos);
        expire(nowNanos);
        startRound(actions);
        mNextRoundNanos = late ? nowNanos + ROUND_NANOS : mNextRoundNanos + ROUND_NANOS;
        publish(actions);
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(mNextRoundNanos, mNextListNanos);
    }

    private void mergeInstanceList(List<Member> listed, long now) {
        Set<InstanceId> names = new HashSet<>();
        for (Member member : listed) {
            names.add(member.instance());
            if (!member.instance().equals(mSelf.instance())
                    && !mPeers.containsKey(member.instance())) {
                mPeers.put(member.instance(), new Peer(member));
                mViewChanged = true;
            }
        }
        // A removed instance is dropped once the instance list, which lags, does not contain it.
        mPeers.values()
                .removeIf(
                        peer ->
                                peer.mMember.state() == MemberState.REMOVED
                                        && !names.contains(peer.mMember.instance())
                                        && now >= peer.mRemovalNanos + SUSPICION_TIMEOUT_NANOS);
    }

    private void onHeartbeat(
            PeerMessage.Heartbeat heartbeat, long now, ActionSink<MembershipAction> actions) {
        Member sender = heartbeat.sender();
        if (sender.instance().equals(mSelf.instance())) {
            return;
        }
        mUnanswered.remove(sender.instance());
        applyReport(sender, now);
        heartbeat.changes().forEach(change -> applyReport(change, now));
        if (heartbeat.probe()) {
            respond(sender, actions);
        }
    }

    private void respond(Member sender, ActionSink<MembershipAction> actions) {
        // Only probes carry changes: with changes in responses too, 400 members sent 6.8 KB/s each.
        List<Member> reports = List.of();
        Peer known = mPeers.get(sender.instance());
        if (known != null && known.mMember.replaces(sender)) {
            // The sender is suspected or removed; include this so that it can refute it.
            reports = List.of(known.mMember);
        }
        actions.emit(
                new MembershipAction.SendHeartbeat(sender.instance(), heartbeat(false, reports)));
    }

    private void applyReport(Member report, long now) {
        if (report.instance().equals(mSelf.instance())) {
            refute(report);
            return;
        }
        Peer peer = mPeers.get(report.instance());
        if (peer == null) {
            if (report.state().isListed()) {
                peer = new Peer(report);
                mPeers.put(report.instance(), peer);
                onChange(peer, now);
            }
        } else if (report.replaces(peer.mMember)) {
            // The first report about a listed instance is not gossiped: every instance learns of it
            // by itself.
            boolean expected =
                    peer.mMember.incarnation() == 0 && report.state() == peer.mMember.state();
            peer.mMember = report;
            if (!expected) {
                onChange(peer, now);
            }
        }
    }

    private void refute(Member report) {
        boolean suspectOrRemoved =
                report.state() == MemberState.SUSPECT || report.state() == MemberState.REMOVED;
        if (suspectOrRemoved && report.incarnation() >= mSelf.incarnation()) {
            mSelf =
                    new Member(
                            mSelf.instance(),
                            mSelf.region(),
                            mSelf.domain(),
                            report.incarnation() + 1,
                            mSelf.state());
            gossip(mSelf);
        }
    }

    private void onChange(Peer peer, long now) {
        MemberState state = peer.mMember.state();
        boolean suspectOrRemoved = state == MemberState.SUSPECT || state == MemberState.REMOVED;
        peer.mRemovalNanos = suspectOrRemoved ? now + SUSPICION_TIMEOUT_NANOS : NO_TIMER;
        mViewChanged = true;
        gossip(peer.mMember);
    }

    private void gossip(Member change) {
        mChanges.add(change, SENDS_PER_FAN_OUT * Math.max(1, PeerRotation.fanOut(mPeers.size())));
    }

    private void evaluateRound(long now) {
        if (mProbeCount > 0) {
            mRounds.add(new Round(mProbeCount, mUnanswered.size()));
        }
        if (mRounds.size() > ISOLATION_ROUNDS) {
            mRounds.remove();
        }
        int probes = mRounds.stream().mapToInt(Round::probeCount).sum();
        int unansweredProbes = mRounds.stream().mapToInt(Round::unansweredCount).sum();
        boolean mostlyUnanswered =
                unansweredProbes * 2 > probes || mUnanswered.size() * 2 > mProbeCount;
        if (mostlyUnanswered != mIsolated) {
            mIsolated = mostlyUnanswered;
            mViewChanged = true;
        }
        if (mIsolated) {
            restartSuspicions(now);
            return;
        }
        for (InstanceId receiver : mUnanswered) {
            Peer peer = mPeers.get(receiver);
            if (peer != null) {
                suspect(peer, now);
            }
        }
    }

    private void suspect(Peer peer, long now) {
        if (peer.mMember.state() == MemberState.ALIVE) {
            peer.mMember = peer.mMember.withState(MemberState.SUSPECT);
            onChange(peer, now);
        } else if (peer.mRemovalNanos == NO_TIMER) {
            // A leaving instance stays in its own state until it is removed.
            peer.mRemovalNanos = now + SUSPICION_TIMEOUT_NANOS;
        }
    }

    private void restartSuspicions(long now) {
        for (Peer peer : mPeers.values()) {
            if (peer.mRemovalNanos != NO_TIMER && peer.mMember.state().isListed()) {
                peer.mRemovalNanos = now + SUSPICION_TIMEOUT_NANOS;
            }
        }
    }

    /** Scans all peers once per round, which is cheaper than timers (see ExpiryExperiment). */
    private void expire(long now) {
        for (Peer peer : mPeers.values()) {
            if (peer.mRemovalNanos <= now && peer.mMember.state().isListed()) {
                peer.mMember = peer.mMember.withState(MemberState.REMOVED);
                mViewChanged = true;
                gossip(peer.mMember);
            }
        }
    }

    private void startRound(ActionSink<MembershipAction> actions) {
        mUnanswered.clear();
        List<Member> listed = listed();
        int suspects = 0;
        for (Member member : listed) {
            if (member.state() == MemberState.SUSPECT && suspects < MAX_SUSPECT_PROBES) {
                mUnanswered.add(member.instance());
                suspects++;
            }
        }
        // Extra probes of suspects do not count towards isolation: they are unresponsive already.
        List<InstanceId> suspectIds = List.copyOf(mUnanswered);
        mUnanswered.clear();
        List<InstanceId> chosen = mRotation.next(listed);
        for (InstanceId receiver : suspectIds) {
            if (!chosen.contains(receiver)) {
                sendProbe(receiver, actions);
            }
        }
        chosen.forEach(receiver -> sendProbe(receiver, actions));
        mUnanswered.addAll(chosen);
        mProbeCount = chosen.size();
    }

    private void sendProbe(InstanceId receiver, ActionSink<MembershipAction> actions) {
        List<Member> reports = new ArrayList<>(mChanges.next());
        Peer peer = mPeers.get(receiver);
        if (peer != null
                && peer.mMember.state() == MemberState.SUSPECT
                && !reports.contains(peer.mMember)) {
            reports.add(0, peer.mMember);
        }
        actions.emit(new MembershipAction.SendHeartbeat(receiver, heartbeat(true, reports)));
    }

    private PeerMessage.Heartbeat heartbeat(boolean probe, List<Member> reports) {
        return new PeerMessage.Heartbeat(mSelf, mConfigVersion, mKeyVersion, probe, reports);
    }

    private List<Member> listed() {
        return mPeers.values().stream()
                .map(peer -> peer.mMember)
                .filter(member -> member.state().isListed())
                .toList();
    }

    private void publish(ActionSink<MembershipAction> actions) {
        if (mViewChanged) {
            mViewChanged = false;
            actions.emit(new MembershipAction.ViewChanged(listed(), mIsolated));
        }
    }

    private record Round(int probeCount, int unansweredCount) {}

    private static final class Peer {
        private Member mMember;
        private long mRemovalNanos = NO_TIMER;

        Peer(Member member) {
            mMember = member;
        }
    }
}

package org.fuchsialever.benchmarks.peers;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.membership.Member;
import org.fuchsialever.decisions.membership.MemberState;
import org.fuchsialever.decisions.membership.MembershipAction;
import org.fuchsialever.decisions.membership.MembershipDuty;
import org.fuchsialever.decisions.membership.MembershipEvent;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.wire.PeerCodec;

/**
 * Measures what membership costs a node: bytes sent (frames with their length prefix, without TCP
 * and IP headers) and CPU time of duty and codec, for in-process members under a manual clock.
 * Arguments: seed, then member counts.
 */
public final class GossipCost {
    private static final int FRAME_PREFIX = 4;
    private static final int REGIONS = 11;
    private static final int DOMAINS = 41;
    private static final long WARM_UP_SECONDS = 30;
    private static final long MEASURED_SECONDS = 30;

    /** The planned size loses and replaces 930 instances a day; this is far above that rate. */
    private static final long SECONDS_PER_CHANGE = 10;

    private final ManualTimeSource mClock = new ManualTimeSource(0);
    private final DutyStepper mStepper = new DutyStepper(mClock);
    private final Map<InstanceId, ActionSink<MembershipEvent>> mInboxes = new HashMap<>();
    private final int mMembers;
    private long mBytes;
    private long mMessages;

    private GossipCost(long seed, int members) {
        mMembers = members;
        List<Member> listed = IntStream.range(0, members).mapToObj(GossipCost::member).toList();
        for (Member self : listed) {
            MembershipDuty duty =
                    new MembershipDuty(
                            new Member(
                                    self.instance(), self.region(), self.domain(), 1, self.state()),
                            new SplittableRandom(seed * 1_000 + mInboxes.size()),
                            0);
            mInboxes.put(self.instance(), mStepper.add(duty, this::carryOut));
        }
        MembershipEvent seeds = new MembershipEvent.InstancesListed(listed);
        mInboxes.values().forEach(inbox -> inbox.emit(seeds));
    }

    /** Runs the measurement and prints one line for each member count. */
    public static void main(String[] arguments) {
        long seed = Long.parseLong(arguments[0]);
        new GossipCost(seed, 50).run();
        for (int i = 1; i < arguments.length; i++) {
            System.out.println(new GossipCost(seed, Integer.parseInt(arguments[i])).run());
        }
    }

    private String run() {
        mStepper.advance(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS));
        mBytes = 0;
        mMessages = 0;
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpuBefore = threads.getCurrentThreadCpuTime();
        for (long second = 0; second < MEASURED_SECONDS; second++) {
            if (second % SECONDS_PER_CHANGE == 0) {
                InstanceId leaving = name((int) (second / SECONDS_PER_CHANGE) % mMembers);
                mInboxes.getOrDefault(leaving, event -> {})
                        .emit(new MembershipEvent.LeaveRequested());
            }
            mStepper.advance(TimeUnit.SECONDS.toNanos(1));
        }
        double cpu = threads.getCurrentThreadCpuTime() - cpuBefore;
        double nodeSeconds = (double) mMembers * MEASURED_SECONDS;
        return String.format(
                "%d members: %.1f messages/s, %.0f B/s sent, %.4f%% of a core per node",
                mMembers,
                mMessages / nodeSeconds,
                mBytes / nodeSeconds,
                cpu / nodeSeconds / TimeUnit.SECONDS.toNanos(1) * 100);
    }

    private void carryOut(MembershipAction action) {
        if (action instanceof MembershipAction.SendHeartbeat send) {
            byte[] frame = PeerCodec.encode(send.heartbeat());
            mBytes += frame.length + FRAME_PREFIX;
            mMessages++;
            PeerMessage message = PeerCodec.decode(frame).get();
            mInboxes.getOrDefault(send.receiver(), event -> {})
                    .emit(new MembershipEvent.HeartbeatReceived((PeerMessage.Heartbeat) message));
        }
    }

    private static InstanceId name(int number) {
        return new InstanceId("fuchsialever-node-" + number);
    }

    private static Member member(int number) {
        return new Member(
                name(number),
                "region-" + number % REGIONS,
                new FailureDomain("domain-" + number % DOMAINS),
                0,
                MemberState.ALIVE);
    }
}

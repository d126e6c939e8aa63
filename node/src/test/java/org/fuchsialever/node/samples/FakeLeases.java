package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.jspecify.annotations.Nullable;

/** One role for several instances; the first that asks holds it until it is moved. */
final class FakeLeases {
    private final FakePlatform platform;
    private final List<Member> members = new ArrayList<>();
    private @Nullable Member holder;
    private @Nullable HeldLease lease;
    private long fencing;

    FakeLeases(FakePlatform platform) {
        this.platform = platform;
    }

    Leases member() {
        Member member = new Member();
        members.add(member);
        return member;
    }

    /** Gives the role to the other instance that has asked for it. */
    synchronized void moveFrom(Leases earlier) {
        for (Member member : members) {
            if (member != earlier && member.listener != null) {
                grant(member);
            }
        }
    }

    synchronized boolean isHeldBy(Leases member) {
        return holder == member;
    }

    private void grant(Member member) {
        Member earlier = holder;
        if (earlier != null && earlier.listener != null) {
            earlier.listener.onLost(member.role);
        }
        fencing++;
        holder = member;
        HeldLease gained =
                new HeldLease(member.role, fencing, "leases", member.role, putGuard(member.role));
        lease = gained;
        if (member.listener != null) {
            member.listener.onAcquired(gained);
        }
    }

    private long putGuard(String role) {
        Commit commit =
                new Commit(
                        "lease-" + fencing,
                        List.of(),
                        List.of(new Commit.Put("leases", role, "")),
                        List.of());
        return platform.writeNow(commit);
    }

    private final class Member implements Leases {
        private String role = "";
        private @Nullable LeaseListener listener;

        @Override
        public void request(String wanted, LeaseListener target) {
            synchronized (FakeLeases.this) {
                role = wanted;
                listener = target;
                if (holder == null) {
                    grant(this);
                }
            }
        }

        @Override
        public void release(String released) {}

        @Override
        public Option<HeldLease> held(String asked) {
            synchronized (FakeLeases.this) {
                return holder == this && asked.equals(role) ? Option.of(lease) : Option.none();
            }
        }
    }
}

package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.jspecify.annotations.Nullable;

/** Leases of one role; the first instance to request it holds it until it is moved. */
final class FakeLeases {
    private final FakePlatform mPlatform;
    private final List<Member> mMembers = new ArrayList<>();
    private @Nullable Member mHolder;
    private @Nullable HeldLease mLease;
    private long mFencing;

    FakeLeases(FakePlatform platform) {
        mPlatform = platform;
    }

    Leases member() {
        Member member = new Member();
        mMembers.add(member);
        return member;
    }

    /** Moves the lease to the other instance that requested it. */
    synchronized void moveFrom(Leases previous) {
        for (Member member : mMembers) {
            if (member != previous && member.mListener != null) {
                grant(member);
            }
        }
    }

    synchronized boolean isHeldBy(Leases member) {
        return mHolder == member;
    }

    private void grant(Member member) {
        Member previous = mHolder;
        if (previous != null && previous.mListener != null) {
            previous.mListener.onLost(member.mRole);
        }
        mFencing++;
        mHolder = member;
        HeldLease acquired =
                new HeldLease(
                        member.mRole, mFencing, "leases", member.mRole, putGuard(member.mRole));
        mLease = acquired;
        if (member.mListener != null) {
            member.mListener.onAcquired(acquired);
        }
    }

    private long putGuard(String role) {
        Commit commit =
                new Commit(
                        "lease-" + mFencing,
                        List.of(),
                        List.of(new Commit.Put("leases", role, "")),
                        List.of());
        return mPlatform.writeNow(commit);
    }

    private final class Member implements Leases {
        private String mRole = "";
        private @Nullable LeaseListener mListener;

        @Override
        public void request(String requestedRole, LeaseListener target) {
            synchronized (FakeLeases.this) {
                mRole = requestedRole;
                mListener = target;
                if (mHolder == null) {
                    grant(this);
                }
            }
        }

        @Override
        public void release(String released) {}

        @Override
        public Option<HeldLease> heldFor(String role, Duration time) {
            return held(role);
        }

        @Override
        public Option<HeldLease> held(String requestedRole) {
            synchronized (FakeLeases.this) {
                return mHolder == this && requestedRole.equals(mRole)
                        ? Option.of(mLease)
                        : Option.none();
            }
        }
    }
}

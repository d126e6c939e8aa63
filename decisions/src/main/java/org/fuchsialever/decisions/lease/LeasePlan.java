package org.fuchsialever.decisions.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Decides which roles to take or hand over, which sessions to end and which roles to bid for. */
final class LeasePlan {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Delay per role held, so that instances with fewer roles take a free role first. */
    private static final long DELAY_PER_ROLE_NANOS = 200 * NANOS_PER_MILLI;

    private static final int MAX_ROLES_COUNTED = 5;
    private static final long JITTER_NANOS = 300 * NANOS_PER_MILLI;

    /**
     * A role released for another instance is reserved for it this long. In simulations with reads
     * 1.3 s stale, 1 s made roles return to their previous holder each time.
     */
    private static final long RESERVATION_NANOS = 2_000 * NANOS_PER_MILLI;

    /** After this time an instance takes all free roles at once, so that none stays free. */
    private static final long MAX_WAIT_NANOS = 1_500 * NANOS_PER_MILLI;

    /** Spreads the commits that end a session, so that challengers do not write together. */
    private static final long SESSION_END_JITTER_NANOS = 500 * NANOS_PER_MILLI;

    private static final long BID_LIFETIME_NANOS = 5_000 * NANOS_PER_MILLI;
    private static final int MIN_IMBALANCE = 2;

    /** An instance places its first bid after this many lease durations. */
    private static final int FIRST_BID_LEASES = 2;

    private final String mInstance;
    private final String mOwnPrefix;
    private final LeaseTiming mTiming;
    private final LeaseView mView;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mFreeSince = new HashMap<>();
    private long mNextBid = Long.MIN_VALUE;
    private long mHandoverExpectedUntil = Long.MIN_VALUE;

    LeasePlan(
            String instance,
            String ownPrefix,
            LeaseTiming timing,
            LeaseView view,
            RandomGenerator random) {
        mInstance = instance;
        mOwnPrefix = ownPrefix;
        mTiming = timing;
        mView = view;
        mRandom = random;
    }

    /** Returns the roles to take now; roles that become due later set the timer. */
    List<LeaseRow.Role> rolesToTake(
            Set<String> wanted, Set<String> heldRoles, long now, Timer timer) {
        List<LeaseRow.Role> due = new ArrayList<>();
        List<LeaseRow.Role> overdue = new ArrayList<>();
        for (String role : wanted) {
            LeaseRow.Role row = mView.role(role);
            if (heldRoles.contains(role) || !mView.isScanned() || !isFree(row)) {
                mFreeSince.remove(role);
                continue;
            }
            long since =
                    mFreeSince.computeIfAbsent(role, key -> now + mRandom.nextLong(JITTER_NANOS));
            long dueAt = since + takeDelay(row, heldRoles.size());
            long longest = MAX_WAIT_NANOS + (row.successor().isEmpty() ? 0 : RESERVATION_NANOS);
            if (now >= since + longest) {
                overdue.add(row);
            } else if (now >= dueAt) {
                due.add(row);
            } else {
                timer.atLatest(Math.min(dueAt, since + longest));
            }
        }
        if (!overdue.isEmpty()) {
            return overdue;
        }
        return due.isEmpty() ? due : List.of(due.get(mRandom.nextInt(due.size())));
    }

    /** Returns the row versions on which taking a free role is conditional. */
    Map<String, Long> conditionsToTake(LeaseRow.Role row) {
        Map<String, Long> conditions = new HashMap<>();
        conditions.put(row.key(), row.version());
        // A stale read may not show the session row although the session is alive.
        if (!row.holder().isEmpty()
                && !row.holder().startsWith(mOwnPrefix)
                && mView.session(row.holder()) == null) {
            conditions.put(row.holder(), 0L);
        }
        return conditions;
    }

    /** Returns a session to end now: one observed without a renewal for the full period. */
    LeaseRow.@Nullable Session sessionToEnd(Set<String> wanted, int held, long now, Timer timer) {
        for (Map.Entry<String, Set<String>> entry : mView.rolesBySession().entrySet()) {
            LeaseRow.Session session = mView.session(entry.getKey());
            boolean concerned = entry.getValue().stream().anyMatch(wanted::contains);
            if (session == null || session.dead() || session.key().startsWith(mOwnPrefix)) {
                continue;
            }
            long spread =
                    Math.floorMod(
                            mInstance.hashCode() * 31L + session.version(),
                            SESSION_END_JITTER_NANOS);
            long dueAt =
                    mView.observedSince(session.key())
                            + mTiming.observationPeriod()
                            + spread
                            + Math.min(held, MAX_ROLES_COUNTED) * JITTER_NANOS / MAX_ROLES_COUNTED;
            if (concerned && now >= dueAt) {
                return session;
            }
            if (concerned) {
                timer.atLatest(dueAt);
            }
        }
        return null;
    }

    /** Returns the roles to hand over now, with the instance that bids for each. */
    Map<String, String> rolesToHandOver(Set<String> heldRoles, long now) {
        Map<String, String> result = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (String role : new TreeSet<>(heldRoles)) {
            LeaseRow.Bid bid = mView.bid(role);
            if (bid == null
                    || bid.bidder().equals(mInstance)
                    || now - mView.observedSince(bid.key()) > BID_LIFETIME_NANOS) {
                continue;
            }
            int bidderRoles = counts.computeIfAbsent(bid.bidder(), mView::roleCountOf);
            if (heldRoles.size() - result.size() - bidderRoles >= MIN_IMBALANCE) {
                result.put(role, bid.bidder());
                counts.put(bid.bidder(), bidderRoles + 1);
            }
        }
        return result;
    }

    /** Returns a role to bid for now: one of a holder that has at least two roles more. */
    LeaseRow.@Nullable Bid bidToPlace(Set<String> wanted, int held, long now, Timer timer) {
        if (!mView.isScanned()) {
            return null;
        }
        if (mNextBid == Long.MIN_VALUE) {
            // A holder that restarts must not get the role back while its last act is recent.
            mNextBid = now + FIRST_BID_LEASES * mTiming.duration();
        }
        if (now < mNextBid) {
            timer.atLatest(mNextBid);
            return null;
        }
        Set<String> largest = Set.of();
        for (Map.Entry<String, Set<String>> entry : mView.rolesBySession().entrySet()) {
            LeaseRow.Session session = mView.session(entry.getKey());
            Set<String> roles = new HashSet<>(entry.getValue());
            roles.retainAll(wanted);
            if (session != null
                    && !session.dead()
                    && !session.key().startsWith(mOwnPrefix)
                    && roles.size() > largest.size()) {
                largest = roles;
            }
        }
        if (largest.size() - held < MIN_IMBALANCE) {
            return null;
        }
        mNextBid = now + mTiming.pollInterval() * 2 + mRandom.nextLong(mTiming.pollInterval());
        mHandoverExpectedUntil = now + mTiming.pollInterval() * 3;
        List<String> choice = new ArrayList<>(new TreeSet<>(largest));
        String role = choice.get(mRandom.nextInt(choice.size()));
        LeaseRow.Bid known = mView.bid(role);
        return new LeaseRow.Bid(role, known == null ? 0 : known.version(), "", mInstance);
    }

    /** Returns the delay before the next read; shorter while a bid may be granted. */
    long readInterval(long now) {
        long interval =
                now < mHandoverExpectedUntil ? mTiming.pollInterval() / 4 : mTiming.pollInterval();
        return interval * 7 / 8 + mRandom.nextLong(interval / 4);
    }

    private boolean isFree(LeaseRow.Role row) {
        if (row.holder().isEmpty() || row.holder().startsWith(mOwnPrefix)) {
            return true;
        }
        LeaseRow.Session session = mView.session(row.holder());
        return session == null || session.dead();
    }

    private long takeDelay(LeaseRow.Role row, int held) {
        if (row.successor().equals(mInstance)) {
            return -JITTER_NANOS;
        }
        long reserved = row.successor().isEmpty() ? 0 : RESERVATION_NANOS;
        return reserved + Math.min(held, MAX_ROLES_COUNTED) * DELAY_PER_ROLE_NANOS;
    }

    /** Receives the times at which the plan must be evaluated again. */
    @FunctionalInterface
    interface Timer {

        /** Requests an evaluation at this monotonic time at the latest. */
        void atLatest(long nanos);
    }
}

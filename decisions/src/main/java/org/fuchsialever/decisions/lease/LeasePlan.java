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

/** Chooses which roles to take, which sessions to end and which roles to bid for. */
final class LeasePlan {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** An instance waits this long for each role that it holds, so that others go first. */
    private static final long WAIT_PER_ROLE = 200 * MILLI;

    private static final int ROLES_COUNTED = 5;
    private static final long JITTER = 300 * MILLI;

    /**
     * A role given up for another instance is left to it for this long. With 1 s, seeded runs with
     * reads that were 1.3 s stale showed roles that went back to their former holder each time.
     */
    private static final long RESERVATION = 2_000 * MILLI;

    /** After this time any instance takes all free roles, so that none stays free. */
    private static final long LONGEST_WAIT = 1_500 * MILLI;

    /** Spread of the commits that end a session, so that not all challengers write at once. */
    private static final long FENCE_JITTER = 500 * MILLI;

    private static final long BID_LIFETIME = 5_000 * MILLI;
    private static final int UNEVEN = 2;

    private final String instance;
    private final String ownPrefix;
    private final LeaseTiming timing;
    private final LeaseView view;
    private final RandomGenerator random;
    private final Map<String, Long> freeSince = new HashMap<>();
    private long nextBid = Long.MIN_VALUE;
    private long handOverExpectedUntil = Long.MIN_VALUE;

    LeasePlan(
            String instance,
            String ownPrefix,
            LeaseTiming timing,
            LeaseView view,
            RandomGenerator random) {
        this.instance = instance;
        this.ownPrefix = ownPrefix;
        this.timing = timing;
        this.view = view;
        this.random = random;
    }

    /** Returns the roles to take now; other free ones set the timer. */
    List<LeaseRow.Role> rolesToTake(Set<String> wanted, Set<String> mine, long now, Timer timer) {
        List<LeaseRow.Role> due = new ArrayList<>();
        List<LeaseRow.Role> overdue = new ArrayList<>();
        for (String role : wanted) {
            LeaseRow.Role row = view.role(role);
            if (mine.contains(role) || !view.isScanned() || !isFree(row)) {
                freeSince.remove(role);
                continue;
            }
            long since = freeSince.computeIfAbsent(role, key -> now + random.nextLong(JITTER));
            long dueAt = since + precedence(row, mine.size());
            long longest = LONGEST_WAIT + (row.successor().isEmpty() ? 0 : RESERVATION);
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
        return due.isEmpty() ? due : List.of(due.get(random.nextInt(due.size())));
    }

    /** Returns the versions that must hold for a free role to be taken. */
    Map<String, Long> conditionsToTake(LeaseRow.Role row) {
        Map<String, Long> conditions = new HashMap<>();
        conditions.put(row.key(), row.version());
        // A stale read may lack the session row although the session is alive.
        if (!row.holder().isEmpty()
                && !row.holder().startsWith(ownPrefix)
                && view.session(row.holder()) == null) {
            conditions.put(row.holder(), 0L);
        }
        return conditions;
    }

    /** Returns a session to end now because it was observed without a renewal for long enough. */
    LeaseRow.@Nullable Session sessionToEnd(Set<String> wanted, int held, long now, Timer timer) {
        for (Map.Entry<String, Set<String>> entry : view.rolesBySession().entrySet()) {
            LeaseRow.Session session = view.session(entry.getKey());
            boolean concerned = entry.getValue().stream().anyMatch(wanted::contains);
            if (session == null || session.dead() || session.key().startsWith(ownPrefix)) {
                continue;
            }
            long spread =
                    Math.floorMod(instance.hashCode() * 31L + session.version(), FENCE_JITTER);
            long dueAt =
                    view.observedSince(session.key())
                            + timing.observationPeriod()
                            + spread
                            + Math.min(held, ROLES_COUNTED) * JITTER / ROLES_COUNTED;
            if (concerned && now >= dueAt) {
                return session;
            }
            if (concerned) {
                timer.atLatest(dueAt);
            }
        }
        return null;
    }

    /** Returns the roles to hand over now, with the instance that asked for each. */
    Map<String, String> rolesToHandOver(Set<String> mine, long now) {
        Map<String, String> result = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (String role : new TreeSet<>(mine)) {
            LeaseRow.Bid bid = view.bid(role);
            if (bid == null
                    || bid.bidder().equals(instance)
                    || now - view.observedSince(bid.key()) > BID_LIFETIME) {
                continue;
            }
            int theirs = counts.computeIfAbsent(bid.bidder(), view::rolesOfInstance);
            if (mine.size() - result.size() - theirs >= UNEVEN) {
                result.put(role, bid.bidder());
                counts.put(bid.bidder(), theirs + 1);
            }
        }
        return result;
    }

    /** Returns a role to bid for now because its holder has at least two roles more. */
    LeaseRow.@Nullable Bid bidToPlace(Set<String> wanted, int held, long now, Timer timer) {
        if (!view.isScanned()) {
            return null;
        }
        if (now < nextBid) {
            timer.atLatest(nextBid);
            return null;
        }
        Set<String> richest = Set.of();
        for (Map.Entry<String, Set<String>> entry : view.rolesBySession().entrySet()) {
            LeaseRow.Session session = view.session(entry.getKey());
            Set<String> roles = new HashSet<>(entry.getValue());
            roles.retainAll(wanted);
            if (session != null
                    && !session.dead()
                    && !session.key().startsWith(ownPrefix)
                    && roles.size() > richest.size()) {
                richest = roles;
            }
        }
        if (richest.size() - held < UNEVEN) {
            return null;
        }
        nextBid = now + timing.pollInterval() * 2 + random.nextLong(timing.pollInterval());
        handOverExpectedUntil = now + timing.pollInterval() * 3;
        List<String> choice = new ArrayList<>(new TreeSet<>(richest));
        String role = choice.get(random.nextInt(choice.size()));
        LeaseRow.Bid known = view.bid(role);
        return new LeaseRow.Bid(role, known == null ? 0 : known.version(), "", instance);
    }

    /** Returns how long to wait before the next read; shorter while a bid may be granted. */
    long readInterval(long now) {
        long interval =
                now < handOverExpectedUntil ? timing.pollInterval() / 4 : timing.pollInterval();
        return interval * 7 / 8 + random.nextLong(interval / 4);
    }

    private boolean isFree(LeaseRow.Role row) {
        if (row.holder().isEmpty() || row.holder().startsWith(ownPrefix)) {
            return true;
        }
        LeaseRow.Session session = view.session(row.holder());
        return session == null || session.dead();
    }

    private long precedence(LeaseRow.Role row, int held) {
        if (row.successor().equals(instance)) {
            return -JITTER;
        }
        long reserved = row.successor().isEmpty() ? 0 : RESERVATION;
        return reserved + Math.min(held, ROLES_COUNTED) * WAIT_PER_ROLE;
    }

    /** Receives times at which the plan has to be looked at again. */
    @FunctionalInterface
    interface Timer {

        /** The plan has to be looked at again at this time at the latest. */
        void atLatest(long nanos);
    }
}

package org.fuchsialever.decisions.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Takes, renews, hands over and releases roles. The package description has the rules that prevent
 * two instances from acting in one role at the same time.
 */
public final class LeaseDuty implements Duty<LeaseEvent, LeaseAction> {
    private static final long MIN_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Full reads replace incremental ones this often, since only they reveal deleted rows. */
    private static final int READS_PER_FULL_READ = 10;

    private final String instance;
    private final String start;
    private final LeaseTiming timing;
    private final RandomGenerator random;
    private final LeaseView view = new LeaseView();
    private final LeasePlan plan;
    private final Set<String> wantedRoles = new TreeSet<>();

    /** Roles held by the session in the table, whether or not their leases are still valid. */
    private final Map<String, LeaseRow.Role> heldRoles = new TreeMap<>();

    private final Map<String, String> pendingReleases = new TreeMap<>();
    private String session;
    private int sessionNumber;
    private long sessionVersion;
    private boolean leasesValid;
    private long validUntil = Long.MIN_VALUE;
    private @Nullable PendingCommit pending;
    private boolean renewOnly;
    private long commits;
    private long nextRenewal;
    private long nextRead = Long.MIN_VALUE;
    private boolean reading;
    private long lastRead = Long.MIN_VALUE;
    private long reads;
    private long readBackoff = MIN_RETRY_DELAY_NANOS;
    private long nextEvaluation = NO_TIMER;

    /**
     * Creates a duty that holds no role.
     *
     * @param instance this instance
     * @param start ID of this process, never reused by a later start of the instance
     * @param timing periods of the protocol, equal on all instances
     * @param random source of jitter, so that instances do not write at the same time
     */
    public LeaseDuty(
            InstanceId instance, String start, LeaseTiming timing, RandomGenerator random) {
        this.instance = instance.value();
        this.start = start;
        this.timing = timing;
        this.random = random;
        this.session = LeaseRow.Session.keyOf(this.instance, start, sessionNumber);
        String ownPrefix = LeaseRow.Session.PREFIX + this.instance + "/" + start + "/";
        this.plan = new LeasePlan(this.instance, ownPrefix, timing, view, random);
    }

    @Override
    public String dutyName() {
        return "lease";
    }

    @Override
    public void onEvent(LeaseEvent event, long nowNanos, ActionSink<LeaseAction> actions) {
        // Comes first: after a pause of the process, expired leases end before anything else.
        stopIfExpired(nowNanos, actions);
        if (event instanceof LeaseEvent.RoleRequested want) {
            wantedRoles.add(want.role());
        } else if (event instanceof LeaseEvent.RoleReleased release) {
            wantedRoles.remove(release.role());
            release(release.role(), "", actions);
        } else if (event instanceof LeaseEvent.TableRead read) {
            tableRead(read, nowNanos);
        } else if (event instanceof LeaseEvent.ReadFailed) {
            reading = false;
            nextRead = nowNanos + readBackoff / 2 + random.nextLong(readBackoff);
            readBackoff = Math.min(readBackoff * 2, MAX_RETRY_DELAY_NANOS);
        } else {
            commitEnded(event, nowNanos, actions);
        }
        evaluate(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<LeaseAction> actions) {
        stopIfExpired(nowNanos, actions);
        if (pending != null && nowNanos >= pending.retryAt) {
            pending.retryAt = NO_TIMER;
            actions.emit(new LeaseAction.WriteRows(pending.commit));
        }
        evaluate(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        long next = Math.min(nextEvaluation, leasesValid ? validUntil : NO_TIMER);
        return pending == null ? next : Math.min(next, pending.retryAt);
    }

    private void stopIfExpired(long now, ActionSink<LeaseAction> actions) {
        if (leasesValid && now >= validUntil) {
            leasesValid = false;
            heldRoles.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
    }

    private void tableRead(LeaseEvent.TableRead read, long now) {
        reading = false;
        readBackoff = MIN_RETRY_DELAY_NANOS;
        // Nothing was observed during a gap in reads, so holders get the full time to renew.
        if (lastRead != Long.MIN_VALUE
                && now - lastRead > 2 * timing.pollInterval() + timing.pollInterval() / 2) {
            view.restartObservations(now);
        }
        lastRead = now;
        view.addScan(read.full(), read.rows(), now);
        nextRead = now + plan.readInterval(now);
    }

    /** Starts whatever is due, in order of priority, and sets the timer for the rest. */
    private void evaluate(long now, ActionSink<LeaseAction> actions) {
        nextEvaluation = NO_TIMER;
        if (!reading && now >= nextRead) {
            boolean full = !view.isScanned() || reads % READS_PER_FULL_READ == 0;
            reads++;
            reading = true;
            actions.emit(new LeaseAction.ReadTable(full ? 0 : view.scannedVersion()));
        } else if (!reading) {
            scheduleEvaluation(nextRead);
        }
        if (pending == null) {
            writeOwnSession(now, actions);
        }
        if (pending == null) {
            endSessionOrBid(now, actions);
        }
        if (pending == null && sessionVersion > 0) {
            scheduleEvaluation(nextRenewal);
        }
    }

    private void scheduleEvaluation(long nanos) {
        nextEvaluation = Math.min(nextEvaluation, nanos);
    }

    private void writeOwnSession(long now, ActionSink<LeaseAction> actions) {
        List<LeaseRow.Role> takes = List.of();
        if (!renewOnly) {
            plan.rolesToHandOver(heldRoles.keySet(), now)
                    .forEach((role, next) -> release(role, next, actions));
            Set<String> takeable = new TreeSet<>(wantedRoles);
            takeable.removeAll(pendingReleases.keySet());
            takes = plan.rolesToTake(takeable, heldRoles.keySet(), now, this::scheduleEvaluation);
        }
        boolean renewalDue = sessionVersion > 0 && now >= nextRenewal;
        if (!renewalDue && !renewOnly && takes.isEmpty() && pendingReleases.isEmpty()) {
            return;
        }
        if (sessionVersion == 0 && takes.isEmpty()) {
            renewOnly = false;
            return;
        }
        renewOnly = false;
        Map<String, Long> conditions = new HashMap<>();
        List<LeaseRow> puts = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        conditions.put(session, sessionVersion);
        for (Map.Entry<String, String> entry : pendingReleases.entrySet()) {
            LeaseRow.Role row = view.role(entry.getKey());
            conditions.put(row.key(), row.version());
            puts.add(row.releasedFor(entry.getValue()));
        }
        pendingReleases.clear();
        for (LeaseRow.Role take : takes) {
            conditions.putAll(plan.conditionsToTake(take));
            puts.add(take.takenBy(session));
            if (view.bid(take.role()) != null) {
                deletes.add(LeaseRow.Bid.PREFIX + take.role());
            }
        }
        deletes.addAll(view.unreferencedDeadSessions(takes));
        if (heldRoles.isEmpty() && takes.isEmpty()) {
            deletes.add(session);
        } else {
            puts.add(new LeaseRow.Session(session, sessionVersion, "", false));
        }
        write(Purpose.OWN_SESSION, conditions, puts, deletes, now, actions);
    }

    private void endSessionOrBid(long now, ActionSink<LeaseAction> actions) {
        int held = heldRoles.size();
        LeaseRow.Session dead = plan.sessionToEnd(wantedRoles, held, now, this::scheduleEvaluation);
        if (dead != null) {
            LeaseRow.Session ended = new LeaseRow.Session(dead.key(), dead.version(), "", true);
            write(
                    Purpose.END_SESSION,
                    Map.of(dead.key(), dead.version()),
                    List.of(ended),
                    List.of(),
                    now,
                    actions);
            return;
        }
        LeaseRow.Bid bid = plan.bidToPlace(wantedRoles, held, now, this::scheduleEvaluation);
        if (bid != null) {
            write(
                    Purpose.BID,
                    Map.of(bid.key(), bid.version()),
                    List.of(bid),
                    List.of(),
                    now,
                    actions);
        }
    }

    private void write(
            Purpose purpose,
            Map<String, Long> conditions,
            List<LeaseRow> puts,
            List<String> deletes,
            long now,
            ActionSink<LeaseAction> actions) {
        String writer = instance + "/" + start + "/" + commits++;
        LeaseCommit commit = new LeaseCommit(writer, conditions, puts, deletes);
        pending = new PendingCommit(purpose, commit, now);
        actions.emit(new LeaseAction.WriteRows(commit));
    }

    private void release(String role, String next, ActionSink<LeaseAction> actions) {
        if (heldRoles.remove(role) != null) {
            if (leasesValid) {
                actions.emit(new LeaseAction.StopHolding(role));
            }
            pendingReleases.put(role, next);
        }
    }

    private void commitEnded(LeaseEvent event, long now, ActionSink<LeaseAction> actions) {
        PendingCommit write = pending;
        if (write == null) {
            return;
        }
        if (event instanceof LeaseEvent.Committed result
                && result.writer().equals(write.commit.writer())) {
            pending = null;
            committed(write, result.version(), now, actions);
        } else if (event instanceof LeaseEvent.Conflicted result
                && result.writer().equals(write.commit.writer())) {
            pending = null;
            conflicted(write, result.rows(), now, actions);
        } else if (event instanceof LeaseEvent.WriteOutcomeUnknown result
                && result.writer().equals(write.commit.writer())) {
            unanswered(write, now);
        }
    }

    private void unanswered(PendingCommit write, long now) {
        if (write.purpose.isRepeated()) {
            write.retryAt = now + write.backoff / 2 + random.nextLong(write.backoff);
            write.backoff = Math.min(write.backoff * 2, MAX_RETRY_DELAY_NANOS);
        } else {
            pending = null;
        }
    }

    private void committed(
            PendingCommit write, long version, long now, ActionSink<LeaseAction> actions) {
        LeaseCommit commit = write.commit;
        commit.deletes().forEach(view::remove);
        for (LeaseRow row : commit.puts()) {
            view.observe(row.writtenBy(commit.writer(), version), now);
        }
        if (write.purpose != Purpose.OWN_SESSION) {
            return;
        }
        if (commit.deletes().contains(session)) {
            openSession(actions);
            return;
        }
        sessionVersion = version;
        nextRenewal = write.firstSent + timing.renewalInterval();
        validUntil = write.firstSent + timing.validityPeriod();
        extendLeases(commit, version, now, actions);
    }

    private void extendLeases(
            LeaseCommit commit, long version, long now, ActionSink<LeaseAction> actions) {
        boolean valid = now < validUntil;
        if (leasesValid && valid) {
            actions.emit(new LeaseAction.ExtendHolding(validUntil));
        }
        Map<String, LeaseRow.Role> started =
                leasesValid ? new TreeMap<>() : new TreeMap<>(heldRoles);
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().equals(session)) {
                LeaseRow.Role taken = role.writtenBy(commit.writer(), version);
                heldRoles.put(role.role(), taken);
                started.put(role.role(), taken);
            }
        }
        if (valid) {
            leasesValid = true;
            started.values()
                    .forEach(r -> actions.emit(new LeaseAction.StartHolding(r, validUntil)));
        }
        // The role may have been released while the commit that took it was in flight.
        for (String role : List.copyOf(heldRoles.keySet())) {
            if (!wantedRoles.contains(role)) {
                release(role, "", actions);
            }
        }
    }

    private void conflicted(
            PendingCommit write, List<LeaseRow> rows, long now, ActionSink<LeaseAction> actions) {
        rows.forEach(row -> view.observe(row, now));
        if (write.purpose != Purpose.OWN_SESSION) {
            return;
        }
        for (LeaseRow row : rows) {
            if (row.key().equals(session)) {
                if (row.writer().equals(write.commit.writer())) {
                    committed(write, row.version(), now, actions);
                } else {
                    openSession(actions);
                }
                return;
            }
        }
        boolean renewalOnly = write.commit.conditions().size() == 1;
        if (renewalOnly || write.commit.deletes().contains(session)) {
            openSession(actions);
            return;
        }
        // A conflict on a role alone says nothing about the session, so it is renewed alone next.
        restoreReleases(write.commit);
        renewOnly = sessionVersion > 0;
    }

    private void restoreReleases(LeaseCommit commit) {
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().isEmpty()) {
                pendingReleases.put(role.role(), role.successor());
            }
        }
    }

    /** Ends the session, which can never be renewed again, and chooses the key of the next. */
    private void openSession(ActionSink<LeaseAction> actions) {
        if (leasesValid) {
            heldRoles.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
        leasesValid = false;
        heldRoles.clear();
        pendingReleases.clear();
        renewOnly = false;
        sessionVersion = 0;
        sessionNumber++;
        session = LeaseRow.Session.keyOf(instance, start, sessionNumber);
    }

    /** Purpose of a commit. */
    private enum Purpose {
        OWN_SESSION(true),
        END_SESSION(false),
        BID(false);

        private final boolean repeated;

        Purpose(boolean repeated) {
            this.repeated = repeated;
        }

        /** Returns whether an unanswered commit is repeated until its result is known. */
        boolean isRepeated() {
            return repeated;
        }
    }

    private static final class PendingCommit {
        private final Purpose purpose;
        private final LeaseCommit commit;
        private final long firstSent;
        private long retryAt = NO_TIMER;
        private long backoff = MIN_RETRY_DELAY_NANOS;

        PendingCommit(Purpose purpose, LeaseCommit commit, long firstSent) {
            this.purpose = purpose;
            this.commit = commit;
            this.firstSent = firstSent;
        }
    }
}

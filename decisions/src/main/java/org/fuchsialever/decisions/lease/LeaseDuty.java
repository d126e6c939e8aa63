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
 * Holds, renews, takes and hands over roles. See the package description for the rules that keep
 * two instances from acting in one role.
 */
public final class LeaseDuty implements Duty<LeaseEvent, LeaseAction> {
    private static final long FIRST_RETRY = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LAST_RETRY = TimeUnit.SECONDS.toNanos(4);

    /** A full read replaces an incremental one this often, to learn of deleted rows. */
    private static final int READS_PER_FULL_READ = 10;

    private final String instance;
    private final String start;
    private final LeaseTiming timing;
    private final RandomGenerator random;
    private final LeaseView view = new LeaseView();
    private final LeasePlan plan;
    private final Set<String> wanted = new TreeSet<>();

    /** Roles that the session row in the table stands for, whether or not it is still valid. */
    private final Map<String, LeaseRow.Role> mine = new TreeMap<>();

    private final Map<String, String> givingUp = new TreeMap<>();
    private String session;
    private int sessionNumber;
    private long sessionVersion;
    private boolean acting;
    private long validUntil = Long.MIN_VALUE;
    private @Nullable Pending pending;
    private boolean renewOnly;
    private long commits;
    private long nextRenewal;
    private long nextRead = Long.MIN_VALUE;
    private boolean reading;
    private long lastRead = Long.MIN_VALUE;
    private long reads;
    private long readBackoff = FIRST_RETRY;
    private long nextLook = NO_TIMER;

    /**
     * Creates a duty that holds nothing.
     *
     * @param instance this instance
     * @param start identity of this start of the process; never used by another start
     * @param timing periods, equal on all instances
     * @param random spreads the writes of the instances
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
        // First of all: a process that was paused must not act on what it held before.
        stopIfExpired(nowNanos, actions);
        if (event instanceof LeaseEvent.RoleRequested want) {
            wanted.add(want.role());
        } else if (event instanceof LeaseEvent.RoleReleased release) {
            wanted.remove(release.role());
            giveUp(release.role(), "", actions);
        } else if (event instanceof LeaseEvent.TableRead read) {
            tableRead(read, nowNanos);
        } else if (event instanceof LeaseEvent.ReadFailed) {
            reading = false;
            nextRead = nowNanos + readBackoff / 2 + random.nextLong(readBackoff);
            readBackoff = Math.min(readBackoff * 2, LAST_RETRY);
        } else {
            written(event, nowNanos, actions);
        }
        look(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<LeaseAction> actions) {
        stopIfExpired(nowNanos, actions);
        if (pending != null && nowNanos >= pending.retryAt) {
            pending.retryAt = NO_TIMER;
            actions.emit(new LeaseAction.WriteRows(pending.commit));
        }
        look(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        long next = Math.min(nextLook, acting ? validUntil : NO_TIMER);
        return pending == null ? next : Math.min(next, pending.retryAt);
    }

    private void stopIfExpired(long now, ActionSink<LeaseAction> actions) {
        if (acting && now >= validUntil) {
            acting = false;
            mine.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
    }

    private void tableRead(LeaseEvent.TableRead read, long now) {
        reading = false;
        readBackoff = FIRST_RETRY;
        // Without reads, nothing was observed; after an outage the holders get time to renew.
        if (lastRead != Long.MIN_VALUE
                && now - lastRead > 2 * timing.pollInterval() + timing.pollInterval() / 2) {
            view.restartObservations(now);
        }
        lastRead = now;
        view.scanned(read.full(), read.rows(), now);
        nextRead = now + plan.readInterval(now);
    }

    /** Looks for everything that is due; the order is that of importance. */
    private void look(long now, ActionSink<LeaseAction> actions) {
        nextLook = NO_TIMER;
        if (!reading && now >= nextRead) {
            boolean full = !view.isScanned() || reads % READS_PER_FULL_READ == 0;
            reads++;
            reading = true;
            actions.emit(new LeaseAction.ReadTable(full ? 0 : view.scannedVersion()));
        } else if (!reading) {
            lookAgain(nextRead);
        }
        if (pending == null) {
            writeOwn(now, actions);
        }
        if (pending == null) {
            writeOther(now, actions);
        }
        if (pending == null && sessionVersion > 0) {
            lookAgain(nextRenewal);
        }
    }

    private void lookAgain(long nanos) {
        nextLook = Math.min(nextLook, nanos);
    }

    private void writeOwn(long now, ActionSink<LeaseAction> actions) {
        List<LeaseRow.Role> takes = List.of();
        if (!renewOnly) {
            plan.rolesToHandOver(mine.keySet(), now)
                    .forEach((role, next) -> giveUp(role, next, actions));
            Set<String> takeable = new TreeSet<>(wanted);
            takeable.removeAll(givingUp.keySet());
            takes = plan.rolesToTake(takeable, mine.keySet(), now, this::lookAgain);
        }
        boolean renewalDue = sessionVersion > 0 && now >= nextRenewal;
        if (!renewalDue && !renewOnly && takes.isEmpty() && givingUp.isEmpty()) {
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
        for (Map.Entry<String, String> entry : givingUp.entrySet()) {
            LeaseRow.Role row = view.role(entry.getKey());
            conditions.put(row.key(), row.version());
            puts.add(row.releasedFor(entry.getValue()));
        }
        givingUp.clear();
        for (LeaseRow.Role take : takes) {
            conditions.putAll(plan.conditionsToTake(take));
            puts.add(take.takenBy(session));
            if (view.bid(take.role()) != null) {
                deletes.add(LeaseRow.Bid.PREFIX + take.role());
            }
        }
        deletes.addAll(view.deadSessionsWithout(takes));
        if (mine.isEmpty() && takes.isEmpty()) {
            deletes.add(session);
        } else {
            puts.add(new LeaseRow.Session(session, sessionVersion, "", false));
        }
        write(Purpose.OWN_SESSION, conditions, puts, deletes, now, actions);
    }

    private void writeOther(long now, ActionSink<LeaseAction> actions) {
        int held = mine.size();
        LeaseRow.Session dead = plan.sessionToEnd(wanted, held, now, this::lookAgain);
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
        LeaseRow.Bid bid = plan.bidToPlace(wanted, held, now, this::lookAgain);
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
        pending = new Pending(purpose, commit, now);
        actions.emit(new LeaseAction.WriteRows(commit));
    }

    private void giveUp(String role, String next, ActionSink<LeaseAction> actions) {
        if (mine.remove(role) != null) {
            if (acting) {
                actions.emit(new LeaseAction.StopHolding(role));
            }
            givingUp.put(role, next);
        }
    }

    private void written(LeaseEvent event, long now, ActionSink<LeaseAction> actions) {
        Pending write = pending;
        if (write == null) {
            return;
        }
        if (event instanceof LeaseEvent.Committed answer
                && answer.writer().equals(write.commit.writer())) {
            pending = null;
            committed(write, answer.version(), now, actions);
        } else if (event instanceof LeaseEvent.Conflicted answer
                && answer.writer().equals(write.commit.writer())) {
            pending = null;
            conflicted(write, answer.rows(), now, actions);
        } else if (event instanceof LeaseEvent.WriteOutcomeUnknown answer
                && answer.writer().equals(write.commit.writer())) {
            unanswered(write, now);
        }
    }

    private void unanswered(Pending write, long now) {
        if (write.purpose.isRepeated()) {
            write.retryAt = now + write.backoff / 2 + random.nextLong(write.backoff);
            write.backoff = Math.min(write.backoff * 2, LAST_RETRY);
        } else {
            pending = null;
        }
    }

    private void committed(Pending write, long version, long now, ActionSink<LeaseAction> actions) {
        LeaseCommit commit = write.commit;
        commit.deletes().forEach(view::forget);
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
        extend(commit, version, now, actions);
    }

    private void extend(
            LeaseCommit commit, long version, long now, ActionSink<LeaseAction> actions) {
        boolean valid = now < validUntil;
        if (acting && valid) {
            actions.emit(new LeaseAction.ExtendHolding(validUntil));
        }
        Map<String, LeaseRow.Role> started = acting ? new TreeMap<>() : new TreeMap<>(mine);
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().equals(session)) {
                LeaseRow.Role taken = role.writtenBy(commit.writer(), version);
                mine.put(role.role(), taken);
                started.put(role.role(), taken);
            }
        }
        if (valid) {
            acting = true;
            started.values()
                    .forEach(r -> actions.emit(new LeaseAction.StartHolding(r, validUntil)));
        }
        // The role may have been released while the commit that took it was under way.
        for (String role : List.copyOf(mine.keySet())) {
            if (!wanted.contains(role)) {
                giveUp(role, "", actions);
            }
        }
    }

    private void conflicted(
            Pending write, List<LeaseRow> rows, long now, ActionSink<LeaseAction> actions) {
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
        // A conflict on a role alone says nothing about the session, so a plain renewal follows.
        restoreReleases(write.commit);
        renewOnly = sessionVersion > 0;
    }

    private void restoreReleases(LeaseCommit commit) {
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().isEmpty()) {
                givingUp.put(role.role(), role.successor());
            }
        }
    }

    /** Ends the session, which can never be renewed again, and prepares one under a new key. */
    private void openSession(ActionSink<LeaseAction> actions) {
        if (acting) {
            mine.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
        acting = false;
        mine.clear();
        givingUp.clear();
        renewOnly = false;
        sessionVersion = 0;
        sessionNumber++;
        session = LeaseRow.Session.keyOf(instance, start, sessionNumber);
    }

    /** What a commit is for. */
    private enum Purpose {
        OWN_SESSION(true),
        END_SESSION(false),
        BID(false);

        private final boolean repeated;

        Purpose(boolean repeated) {
            this.repeated = repeated;
        }

        /** Returns whether a commit without an answer is repeated until its result is known. */
        boolean isRepeated() {
            return repeated;
        }
    }

    private static final class Pending {
        private final Purpose purpose;
        private final LeaseCommit commit;
        private final long firstSent;
        private long retryAt = NO_TIMER;
        private long backoff = FIRST_RETRY;

        Pending(Purpose purpose, LeaseCommit commit, long firstSent) {
            this.purpose = purpose;
            this.commit = commit;
            this.firstSent = firstSent;
        }
    }
}

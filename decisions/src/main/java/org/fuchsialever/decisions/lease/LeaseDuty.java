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

    private final String mInstance;
    private final String mStart;
    private final LeaseTiming mTiming;
    private final RandomGenerator mRandom;
    private final LeaseView mView = new LeaseView();
    private final LeasePlan mPlan;
    private final Set<String> mWantedRoles = new TreeSet<>();

    /** Roles held by the session in the table, whether or not their leases are still valid. */
    private final Map<String, LeaseRow.Role> mHeldRoles = new TreeMap<>();

    private final Map<String, String> mPendingReleases = new TreeMap<>();
    private String mSession;
    private int mSessionNumber;
    private long mSessionVersion;
    private boolean mLeasesValid;
    private long mValidUntil = Long.MIN_VALUE;
    private @Nullable PendingCommit mPending;
    private boolean mRenewOnly;
    private long mCommits;
    private long mNextRenewal;
    private long mNextRead = Long.MIN_VALUE;
    private boolean mReading;
    private boolean mActive = true;
    private long mLastRead = Long.MIN_VALUE;
    private long mReads;
    private long mReadBackoff = MIN_RETRY_DELAY_NANOS;
    private long mNextEvaluation = NO_TIMER;

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
        mInstance = instance.value();
        mStart = start;
        mTiming = timing;
        mRandom = random;
        mSession = LeaseRow.Session.keyOf(mInstance, start, mSessionNumber);
        String ownPrefix = LeaseRow.Session.PREFIX + mInstance + "/" + start + "/";
        mPlan = new LeasePlan(mInstance, ownPrefix, timing, mView, random);
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
            mWantedRoles.add(want.role());
        } else if (event instanceof LeaseEvent.RoleReleased release) {
            mWantedRoles.remove(release.role());
            release(release.role(), "", actions);
        } else if (event instanceof LeaseEvent.ParticipationChanged changed) {
            participationChanged(changed.active(), actions);
        } else if (event instanceof LeaseEvent.TableRead read) {
            tableRead(read, nowNanos);
        } else if (event instanceof LeaseEvent.ReadFailed) {
            mReading = false;
            mNextRead = nowNanos + mReadBackoff / 2 + mRandom.nextLong(mReadBackoff);
            mReadBackoff = Math.min(mReadBackoff * 2, MAX_RETRY_DELAY_NANOS);
        } else {
            commitEnded(event, nowNanos, actions);
        }
        evaluate(nowNanos, actions);
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<LeaseAction> actions) {
        stopIfExpired(nowNanos, actions);
        if (mPending != null && nowNanos >= mPending.mRetryAt) {
            mPending.mRetryAt = NO_TIMER;
            actions.emit(new LeaseAction.WriteRows(mPending.mCommit));
        }
        evaluate(nowNanos, actions);
    }

    @Override
    public long nextTimerNanos() {
        long next = Math.min(mNextEvaluation, mLeasesValid ? mValidUntil : NO_TIMER);
        return mPending == null ? next : Math.min(next, mPending.mRetryAt);
    }

    private void participationChanged(boolean active, ActionSink<LeaseAction> actions) {
        mActive = active;
        if (!active) {
            for (String role : List.copyOf(mHeldRoles.keySet())) {
                release(role, "", actions);
            }
        }
    }

    private boolean isIdle() {
        return !mActive && mHeldRoles.isEmpty() && mPendingReleases.isEmpty() && mPending == null;
    }

    private void stopIfExpired(long now, ActionSink<LeaseAction> actions) {
        if (mLeasesValid && now >= mValidUntil) {
            mLeasesValid = false;
            mHeldRoles.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
    }

    private void tableRead(LeaseEvent.TableRead read, long now) {
        mReading = false;
        mReadBackoff = MIN_RETRY_DELAY_NANOS;
        // Nothing was observed during a gap in reads, so holders get the full time to renew.
        if (mLastRead != Long.MIN_VALUE
                && now - mLastRead > 2 * mTiming.pollInterval() + mTiming.pollInterval() / 2) {
            mView.restartObservations(now);
        }
        mLastRead = now;
        mView.addScan(read.full(), read.rows(), now);
        mNextRead = now + mPlan.readInterval(now);
    }

    /** Starts whatever is due, in order of priority, and sets the timer for the rest. */
    private void evaluate(long now, ActionSink<LeaseAction> actions) {
        mNextEvaluation = NO_TIMER;
        if (isIdle()) {
            return;
        }
        if (!mReading && now >= mNextRead) {
            boolean full = !mView.isScanned() || mReads % READS_PER_FULL_READ == 0;
            mReads++;
            mReading = true;
            actions.emit(new LeaseAction.ReadTable(full ? 0 : mView.scannedVersion()));
        } else if (!mReading) {
            scheduleEvaluation(mNextRead);
        }
        if (mPending == null) {
            writeOwnSession(now, actions);
        }
        if (mPending == null && mActive) {
            endSessionOrBid(now, actions);
        }
        if (mPending == null && mSessionVersion > 0) {
            scheduleEvaluation(mNextRenewal);
        }
    }

    private void scheduleEvaluation(long nanos) {
        mNextEvaluation = Math.min(mNextEvaluation, nanos);
    }

    private void writeOwnSession(long now, ActionSink<LeaseAction> actions) {
        List<LeaseRow.Role> takes = List.of();
        if (!mRenewOnly) {
            mPlan.rolesToHandOver(mHeldRoles.keySet(), now)
                    .forEach((role, next) -> release(role, next, actions));
            Set<String> takeable = mActive ? new TreeSet<>(mWantedRoles) : new TreeSet<>();
            takeable.removeAll(mPendingReleases.keySet());
            takes = mPlan.rolesToTake(takeable, mHeldRoles.keySet(), now, this::scheduleEvaluation);
        }
        boolean renewalDue = mSessionVersion > 0 && now >= mNextRenewal;
        if (!renewalDue && !mRenewOnly && takes.isEmpty() && mPendingReleases.isEmpty()) {
            return;
        }
        if (mSessionVersion == 0 && takes.isEmpty()) {
            mRenewOnly = false;
            return;
        }
        mRenewOnly = false;
        Map<String, Long> conditions = new HashMap<>();
        List<LeaseRow> puts = new ArrayList<>();
        List<String> deletes = new ArrayList<>();
        conditions.put(mSession, mSessionVersion);
        for (Map.Entry<String, String> entry : mPendingReleases.entrySet()) {
            LeaseRow.Role row = mView.role(entry.getKey());
            conditions.put(row.key(), row.version());
            puts.add(row.releasedFor(entry.getValue()));
        }
        mPendingReleases.clear();
        for (LeaseRow.Role take : takes) {
            conditions.putAll(mPlan.conditionsToTake(take));
            puts.add(take.takenBy(mSession));
            if (mView.bid(take.role()) != null) {
                deletes.add(LeaseRow.Bid.PREFIX + take.role());
            }
        }
        deletes.addAll(mView.unreferencedDeadSessions(takes));
        if (mHeldRoles.isEmpty() && takes.isEmpty()) {
            deletes.add(mSession);
        } else {
            puts.add(new LeaseRow.Session(mSession, mSessionVersion, "", false));
        }
        write(Purpose.OWN_SESSION, conditions, puts, deletes, now, actions);
    }

    private void endSessionOrBid(long now, ActionSink<LeaseAction> actions) {
        int held = mHeldRoles.size();
        LeaseRow.Session dead =
                mPlan.sessionToEnd(mWantedRoles, held, now, this::scheduleEvaluation);
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
        LeaseRow.Bid bid = mPlan.bidToPlace(mWantedRoles, held, now, this::scheduleEvaluation);
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
        String writer = mInstance + "/" + mStart + "/" + mCommits++;
        LeaseCommit commit = new LeaseCommit(writer, conditions, puts, deletes);
        mPending = new PendingCommit(purpose, commit, now);
        actions.emit(new LeaseAction.WriteRows(commit));
    }

    private void release(String role, String next, ActionSink<LeaseAction> actions) {
        if (mHeldRoles.remove(role) != null) {
            if (mLeasesValid) {
                actions.emit(new LeaseAction.StopHolding(role));
            }
            mPendingReleases.put(role, next);
        }
    }

    private void commitEnded(LeaseEvent event, long now, ActionSink<LeaseAction> actions) {
        PendingCommit write = mPending;
        if (write == null) {
            return;
        }
        if (event instanceof LeaseEvent.Committed result
                && result.writer().equals(write.mCommit.writer())) {
            mPending = null;
            committed(write, result.version(), now, actions);
        } else if (event instanceof LeaseEvent.Conflicted result
                && result.writer().equals(write.mCommit.writer())) {
            mPending = null;
            conflicted(write, result.rows(), now, actions);
        } else if (event instanceof LeaseEvent.WriteOutcomeUnknown result
                && result.writer().equals(write.mCommit.writer())) {
            unanswered(write, now);
        }
    }

    private void unanswered(PendingCommit write, long now) {
        if (write.mPurpose.isRepeated()) {
            write.mRetryAt = now + write.mBackoff / 2 + mRandom.nextLong(write.mBackoff);
            write.mBackoff = Math.min(write.mBackoff * 2, MAX_RETRY_DELAY_NANOS);
        } else {
            mPending = null;
        }
    }

    private void committed(
            PendingCommit write, long version, long now, ActionSink<LeaseAction> actions) {
        LeaseCommit commit = write.mCommit;
        commit.deletes().forEach(mView::remove);
        for (LeaseRow row : commit.puts()) {
            mView.observe(row.writtenBy(commit.writer(), version), now);
        }
        if (write.mPurpose != Purpose.OWN_SESSION) {
            return;
        }
        if (commit.deletes().contains(mSession)) {
            openSession(actions);
            return;
        }
        mSessionVersion = version;
        mNextRenewal = write.mFirstSent + mTiming.renewalInterval();
        mValidUntil = write.mFirstSent + mTiming.validityPeriod();
        extendLeases(commit, version, now, actions);
    }

    private void extendLeases(
            LeaseCommit commit, long version, long now, ActionSink<LeaseAction> actions) {
        boolean valid = now < mValidUntil;
        if (mLeasesValid && valid) {
            actions.emit(new LeaseAction.ExtendHolding(mValidUntil));
        }
        Map<String, LeaseRow.Role> started =
                mLeasesValid ? new TreeMap<>() : new TreeMap<>(mHeldRoles);
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().equals(mSession)) {
                LeaseRow.Role taken = role.writtenBy(commit.writer(), version);
                mHeldRoles.put(role.role(), taken);
                started.put(role.role(), taken);
            }
        }
        if (valid) {
            mLeasesValid = true;
            started.values()
                    .forEach(r -> actions.emit(new LeaseAction.StartHolding(r, mValidUntil)));
        }
        // The role may have been released while the commit that took it was in flight.
        for (String role : List.copyOf(mHeldRoles.keySet())) {
            if (!mWantedRoles.contains(role)) {
                release(role, "", actions);
            }
        }
    }

    private void conflicted(
            PendingCommit write, List<LeaseRow> rows, long now, ActionSink<LeaseAction> actions) {
        rows.forEach(row -> mView.observe(row, now));
        if (write.mPurpose != Purpose.OWN_SESSION) {
            return;
        }
        for (LeaseRow row : rows) {
            if (row.key().equals(mSession)) {
                if (row.writer().equals(write.mCommit.writer())) {
                    committed(write, row.version(), now, actions);
                } else {
                    openSession(actions);
                }
                return;
            }
        }
        boolean renewalOnly = write.mCommit.conditions().size() == 1;
        if (renewalOnly || write.mCommit.deletes().contains(mSession)) {
            openSession(actions);
            return;
        }
        // A conflict on a role alone says nothing about the session, so it is renewed alone next.
        restoreReleases(write.mCommit);
        mRenewOnly = mSessionVersion > 0;
    }

    private void restoreReleases(LeaseCommit commit) {
        for (LeaseRow put : commit.puts()) {
            if (put instanceof LeaseRow.Role role && role.holder().isEmpty()) {
                mPendingReleases.put(role.role(), role.successor());
            }
        }
    }

    /** Ends the session, which can never be renewed again, and chooses the key of the next. */
    private void openSession(ActionSink<LeaseAction> actions) {
        if (mLeasesValid) {
            mHeldRoles.keySet().forEach(role -> actions.emit(new LeaseAction.StopHolding(role)));
        }
        mLeasesValid = false;
        mHeldRoles.clear();
        mPendingReleases.clear();
        mRenewOnly = false;
        mSessionVersion = 0;
        mSessionNumber++;
        mSession = LeaseRow.Session.keyOf(mInstance, mStart, mSessionNumber);
    }

    /** Purpose of a commit. */
    private enum Purpose {
        OWN_SESSION(true),
        END_SESSION(false),
        BID(false);

        private final boolean mRepeated;

        Purpose(boolean repeated) {
            mRepeated = repeated;
        }

        /** Returns whether an unanswered commit is repeated until its result is known. */
        boolean isRepeated() {
            return mRepeated;
        }
    }

    private static final class PendingCommit {
        private final Purpose mPurpose;
        private final LeaseCommit mCommit;
        private final long mFirstSent;
        private long mRetryAt = NO_TIMER;
        private long mBackoff = MIN_RETRY_DELAY_NANOS;

        PendingCommit(Purpose purpose, LeaseCommit commit, long firstSent) {
            mPurpose = purpose;
            mCommit = commit;
            mFirstSent = firstSent;
        }
    }
}

package org.fuchsialever.decisions.intent;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Records commands as intents, executes them and marks them as completed. It is used within a duty,
 * which passes on events and timers. All changes since the last write of the journal go into the
 * next one.
 *
 * @param <C> the type of the commands
 */
public final class IntentMachine<C extends IntentCommand> {
    private final String mRole;
    private final IntentTiming mTiming;
    private final RandomGenerator mRandom;
    private final InvariantMonitor mInvariants;
    private final Map<String, OpenIntent<C>> mOpen = new LinkedHashMap<>();
    private final Map<String, CommandResult> mEnded = new LinkedHashMap<>();
    private final Set<String> mTargets = new HashSet<>();

    /** Receivers that ignore fencing tokens and may still get a command of a predecessor. */
    private final Set<String> mUnsettledReceivers = new HashSet<>();

    private Phase mPhase = Phase.NOT_HOLDING;
    private long mFencing;
    private long mHighestFencing;
    private long mInheritedQuietPeriodEnd;
    private long mJournalVersion;
    private long mSequence;
    private long mWrites;
    private long mNextWriteAt;
    private int mWriteFailures;
    private Option<IntentAction.WriteJournal<C>> mPendingWrite = Option.none();
    private Set<String> mEndedInWrite = Set.of();
    private long mRetryAt = Duty.NO_TIMER;

    /**
     * Creates a machine that does not hold the role.
     *
     * @param role the role, such as {@code orders/<pool>}
     * @param random source of retry jitter
     * @param invariants receives the results of checks
     */
    public IntentMachine(
            String role, IntentTiming timing, RandomGenerator random, InvariantMonitor invariants) {
        mRole = role;
        mTiming = timing;
        mRandom = random;
        mInvariants = invariants;
    }

    /** Returns whether new intents can be proposed. */
    public boolean isReady() {
        return mPhase == Phase.READY;
    }

    /** Returns whether a target has an open intent. */
    public boolean hasOpenIntent(String target) {
        return mTargets.contains(target);
    }

    /** Returns the commands of the open intents. */
    public List<C> openCommands() {
        return mOpen.values().stream().map(entry -> entry.mIntent.command()).toList();
    }

    /** Returns a name that neither this nor any other holder has used before. */
    public String nextUniqueName() {
        return mFencing + "-" + ++mSequence;
    }

    /**
     * Records a new intent with the next write of the journal and executes it afterwards.
     *
     * @throws IllegalStateException if the machine is not ready or the target has an open intent
     */
    public void propose(C command, long now, ActionSink<IntentAction<C>> actions) {
        if (!isReady() || !mTargets.add(command.target())) {
            throw new IllegalStateException("no intent can be recorded for " + command.target());
        }
        Intent<C> intent = new Intent<>(mRole + "/" + nextUniqueName(), mFencing, command);
        OpenIntent<C> entry = new OpenIntent<>(intent, false, now);
        if (mUnsettledReceivers.contains(command.receiver())) {
            entry.delayUntil(mInheritedQuietPeriodEnd);
        }
        mOpen.put(intent.id(), entry);
        advance(now, actions);
    }

    /**
     * Ends the intents of a target that no longer exists, once no command for it can be in transit.
     * A command that may be in transit is never cancelled.
     */
    public void abandon(String target) {
        for (OpenIntent<C> entry : mOpen.values()) {
            if (entry.mIntent.command().target().equals(target)) {
                entry.abandon();
            }
        }
    }

    /** Handles one event. */
    public void onEvent(IntentEvent<C> event, long now, ActionSink<IntentAction<C>> actions) {
        if (event instanceof IntentEvent.LeaseAcquired<C> acquired) {
            onLeaseAcquired(acquired.fencing(), now, actions);
        } else if (event instanceof IntentEvent.LeaseLost<C>) {
            reset();
        } else if (event instanceof IntentEvent.JournalRead<C> read) {
            if (mPhase == Phase.READING && read.fencing() == mFencing) {
                takeOver(read.journal(), now, actions);
            }
        } else if (event instanceof IntentEvent.ReadFailed<C> failed) {
            if (mPhase == Phase.READING && failed.fencing() == mFencing) {
                mRetryAt = now + mTiming.retryDelayNanos(++mWriteFailures, mRandom);
            }
        } else if (event instanceof IntentEvent.Committed<C> committed) {
            if (isPending(committed.writer())) {
                onCommitted(committed.version(), now, actions);
            }
        } else if (event instanceof IntentEvent.Conflicted<C> conflict) {
            if (isPending(conflict.writer())) {
                onConflict(conflict, now, actions);
            }
        } else if (event instanceof IntentEvent.WriteOutcomeUnknown<C> unknown) {
            if (isPending(unknown.writer())) {
                mRetryAt = now + mTiming.retryDelayNanos(++mWriteFailures, mRandom);
            }
        } else if (event instanceof IntentEvent.AttemptEnded<C> attempted) {
            onAttemptEnded(attempted, now, actions);
        }
    }

    /** Handles all timers that are due. */
    public void onTimer(long now, ActionSink<IntentAction<C>> actions) {
        if (mRetryAt <= now) {
            mRetryAt = Duty.NO_TIMER;
            if (mPhase == Phase.READING) {
                actions.emit(new IntentAction.ReadJournal<>(mFencing));
            } else {
                mPendingWrite.forEach(actions::emit);
            }
        }
        advance(now, actions);
    }

    /** Returns the monotonic time of the next timer, or {@link Duty#NO_TIMER}. */
    public long nextTimerNanos() {
        long next = mRetryAt;
        if (mPhase == Phase.READY) {
            if (mPendingWrite.isEmpty() && hasUnwrittenChanges()) {
                next = Math.min(next, mNextWriteAt);
            }
            for (OpenIntent<C> entry : mOpen.values()) {
                if (!mEnded.containsKey(entry.mIntent.id())) {
                    next = Math.min(next, entry.nextTimer());
                }
            }
        }
        return next;
    }

    private void onLeaseAcquired(long newFencing, long now, ActionSink<IntentAction<C>> actions) {
        reset();
        mFencing = newFencing;
        mHighestFencing = Math.max(mHighestFencing, newFencing);
        // The predecessor's lease ended before this one began.
        mInheritedQuietPeriodEnd = now + mTiming.quietPeriodNanos();
        mPhase = Phase.READING;
        actions.emit(new IntentAction.ReadJournal<>(mFencing));
    }

    private void reset() {
        mPhase = Phase.NOT_HOLDING;
        mOpen.clear();
        mEnded.clear();
        mTargets.clear();
        mPendingWrite = Option.none();
        mEndedInWrite = Set.of();
        mRetryAt = Duty.NO_TIMER;
        mWriteFailures = 0;
    }

    private void takeOver(Journal<C> journal, long now, ActionSink<IntentAction<C>> actions) {
        mPhase = Phase.TAKING_OVER;
        mOpen.clear();
        mTargets.clear();
        mUnsettledReceivers.clear();
        for (Intent<C> intent : journal.openIntents()) {
            OpenIntent<C> entry = new OpenIntent<>(intent, true, now);
            entry.inherit(mInheritedQuietPeriodEnd);
            mOpen.put(intent.id(), entry);
            mTargets.add(intent.command().target());
            if (!intent.command().fencingEnforced()) {
                mUnsettledReceivers.add(intent.command().receiver());
            }
        }
        mJournalVersion = journal.version();
        write(now, actions);
    }

    private void onCommitted(long version, long now, ActionSink<IntentAction<C>> actions) {
        IntentAction.WriteJournal<C> written = mPendingWrite.get();
        mPendingWrite = Option.none();
        mRetryAt = Duty.NO_TIMER;
        mWriteFailures = 0;
        mJournalVersion = version;
        mPhase = Phase.READY;
        for (Intent<C> intent : written.openIntents()) {
            Option.of(mOpen.get(intent.id())).forEach(OpenIntent::markRecorded);
        }
        for (String id : mEndedInWrite) {
            OpenIntent<C> entry = mOpen.remove(id);
            CommandResult result = mEnded.remove(id);
            if (entry != null && result != null) {
                mTargets.remove(entry.mIntent.command().target());
                actions.emit(new IntentAction.Completed<>(entry.mIntent, result));
            }
        }
        mEndedInWrite = Set.of();
        advance(now, actions);
    }

    private void onConflict(
            IntentEvent.Conflicted<C> conflict, long now, ActionSink<IntentAction<C>> actions) {
        if (conflict.current().isEmpty()) {
            // Another holder has taken over the lease; the lease duty reports the loss, too.
            reset();
            return;
        }
        Journal<C> current = conflict.current().get();
        if (current.writer().equals(conflict.writer())) {
            onCommitted(current.version(), now, actions);
            return;
        }
        mInvariants.check(
                Invariant.ONE_ORDERING_HOLDER,
                mPhase == Phase.TAKING_OVER,
                () -> "another process wrote the journal of " + mRole + " under this lease");
        mPendingWrite = Option.none();
        takeOver(current, now, actions);
    }

    private void onAttemptEnded(
            IntentEvent.AttemptEnded<C> attempted, long now, ActionSink<IntentAction<C>> actions) {
        Option<OpenIntent<C>> found = Option.of(mOpen.get(attempted.id()));
        if (attempted.fencing() != mFencing
                || !found.exists(entry -> entry.isInFlight(attempted.attempt()))) {
            return;
        }
        OpenIntent<C> entry = found.get();
        entry.onResult(attempted.result(), now, mTiming.quietPeriodNanos());
        if (entry.needsRetryDelay(attempted.result())) {
            entry.delayUntil(now + mTiming.retryDelayNanos(entry.failures(), mRandom));
        }
        advance(now, actions);
    }

    private void advance(long now, ActionSink<IntentAction<C>> actions) {
        if (mPhase != Phase.READY) {
            return;
        }
        for (OpenIntent<C> entry : mOpen.values()) {
            String id = entry.mIntent.id();
            if (!mEnded.containsKey(id)) {
                entry.finalResult(now).forEach(result -> mEnded.put(id, result));
            }
        }
        for (OpenIntent<C> entry : mOpen.values()) {
            if (entry.isDue(now)) {
                sendCommand(entry, now, actions);
            }
        }
        if (mPendingWrite.isEmpty() && hasUnwrittenChanges() && now >= mNextWriteAt) {
            write(now, actions);
        }
    }

    private void sendCommand(OpenIntent<C> entry, long now, ActionSink<IntentAction<C>> actions) {
        Intent<C> intent = entry.mIntent;
        boolean unsettled =
                intent.fencing() != mFencing && !intent.command().fencingEnforced()
                        || mUnsettledReceivers.contains(intent.command().receiver());
        mInvariants.check(
                Invariant.ONE_ORDERING_HOLDER,
                mFencing == mHighestFencing
                        && intent.fencing() <= mFencing
                        && (!unsettled || now >= mInheritedQuietPeriodEnd),
                () -> intent.id() + " would be sent while an earlier holder may still send it");
        actions.emit(new IntentAction.SendCommand<>(mFencing, entry.startAttempt(now), intent));
    }

    private boolean hasUnwrittenChanges() {
        return !mEnded.isEmpty() || mOpen.values().stream().anyMatch(entry -> !entry.isRecorded());
    }

    private void write(long now, ActionSink<IntentAction<C>> actions) {
        List<Intent<C>> left = new ArrayList<>();
        for (OpenIntent<C> entry : mOpen.values()) {
            if (!mEnded.containsKey(entry.mIntent.id())) {
                left.add(entry.mIntent);
            }
        }
        mEndedInWrite = Set.copyOf(mEnded.keySet());
        mNextWriteAt = now + mTiming.minWriteInterval().toNanos();
        IntentAction.WriteJournal<C> action =
                new IntentAction.WriteJournal<>(
                        mFencing, mRole + "#" + mFencing + "#" + ++mWrites, mJournalVersion, left);
        mPendingWrite = Option.some(action);
        actions.emit(action);
    }

    private boolean isPending(String writer) {
        return mPendingWrite.exists(write -> write.writer().equals(writer));
    }

    private enum Phase {
        NOT_HOLDING,
        READING,
        TAKING_OVER,
        READY
    }
}

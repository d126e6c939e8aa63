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
 * Records acts as intents, carries them out and marks them done. Used within a duty, which passes
 * events and timers on. All changes since the last write of the journal go into the next one.
 *
 * @param <C> the type of the commands
 */
public final class IntentMachine<C extends IntentCommand> {
    private final String role;
    private final IntentTiming timing;
    private final RandomGenerator random;
    private final InvariantMonitor invariants;
    private final Map<String, OpenIntent<C>> open = new LinkedHashMap<>();
    private final Map<String, CommandResult> ended = new LinkedHashMap<>();
    private final Set<String> targets = new HashSet<>();

    /** Receivers that ignore fencing numbers and may still get an act of a predecessor. */
    private final Set<String> unsettledReceivers = new HashSet<>();

    private Phase phase = Phase.NOT_HOLDING;
    private long fencing;
    private long highestFencing;
    private long inheritedQuietFrom;
    private long journalVersion;
    private long sequence;
    private long writes;
    private long nextWriteAt;
    private int writeFailures;
    private Option<IntentAction.WriteJournal<C>> pendingWrite = Option.none();
    private Set<String> endedInWrite = Set.of();
    private long retryAt = Duty.NO_TIMER;

    /**
     * Creates a machine that holds nothing.
     *
     * @param role the role, such as {@code orders/<pool>}
     * @param timing the periods
     * @param random source of the jitter
     * @param invariants receives the result of checks
     */
    public IntentMachine(
            String role, IntentTiming timing, RandomGenerator random, InvariantMonitor invariants) {
        this.role = role;
        this.timing = timing;
        this.random = random;
        this.invariants = invariants;
    }

    /** Returns whether new intents can be proposed. */
    public boolean isReady() {
        return phase == Phase.READY;
    }

    /** Returns whether a target has an open intent. */
    public boolean hasOpenIntent(String target) {
        return targets.contains(target);
    }

    /** Returns the commands of the open intents. */
    public List<C> openCommands() {
        return open.values().stream().map(entry -> entry.intent.command()).toList();
    }

    /** Returns a name part that is used once only, by this or any other holder. */
    public String nextUniqueName() {
        return fencing + "-" + ++sequence;
    }

    /**
     * Records a new intent with the next write of the journal and carries it out afterwards.
     *
     * @throws IllegalStateException if the machine is not ready or the target has an open intent
     */
    public void propose(C command, long now, ActionSink<IntentAction<C>> actions) {
        if (!isReady() || !targets.add(command.target())) {
            throw new IllegalStateException("no intent can be recorded for " + command.target());
        }
        Intent<C> intent = new Intent<>(role + "/" + nextUniqueName(), fencing, command);
        OpenIntent<C> entry = new OpenIntent<>(intent, false, now);
        if (unsettledReceivers.contains(command.receiver())) {
            entry.retryAt(inheritedQuietFrom);
        }
        open.put(intent.id(), entry);
        advance(now, actions);
    }

    /**
     * Ends intents for targets that exist no more, once nothing for them can be in transit. An act
     * that may be in transit is never cancelled.
     */
    public void abandon(String target) {
        for (OpenIntent<C> entry : open.values()) {
            if (entry.intent.command().target().equals(target)) {
                entry.abandon();
            }
        }
    }

    /** Handles one event. */
    public void onEvent(IntentEvent<C> event, long now, ActionSink<IntentAction<C>> actions) {
        if (event instanceof IntentEvent.LeaseAcquired<C> gained) {
            onGained(gained.fencing(), now, actions);
        } else if (event instanceof IntentEvent.LeaseLost<C>) {
            stopActing();
        } else if (event instanceof IntentEvent.JournalRead<C> read) {
            if (phase == Phase.READING && read.fencing() == fencing) {
                takeOver(read.journal(), now, actions);
            }
        } else if (event instanceof IntentEvent.ReadFailed<C> failed) {
            if (phase == Phase.READING && failed.fencing() == fencing) {
                retryAt = now + timing.retryNanos(++writeFailures, random);
            }
        } else if (event instanceof IntentEvent.Committed<C> committed) {
            if (isPending(committed.writer())) {
                onCommitted(committed.version(), now, actions);
            }
        } else if (event instanceof IntentEvent.Conflicted<C> conflict) {
            if (isPending(conflict.writer())) {
                onConflict(conflict, now, actions);
            }
        } else if (event instanceof IntentEvent.WriteOutcomeUnknown<C> unanswered) {
            if (isPending(unanswered.writer())) {
                retryAt = now + timing.retryNanos(++writeFailures, random);
            }
        } else if (event instanceof IntentEvent.AttemptEnded<C> attempted) {
            onAttempted(attempted, now, actions);
        }
    }

    /** Handles all timers that are due. */
    public void onTimer(long now, ActionSink<IntentAction<C>> actions) {
        if (retryAt <= now) {
            retryAt = Duty.NO_TIMER;
            if (phase == Phase.READING) {
                actions.emit(new IntentAction.ReadJournal<>(fencing));
            } else {
                pendingWrite.forEach(actions::emit);
            }
        }
        advance(now, actions);
    }

    /** Returns the monotonic time of the next timer, or {@link Duty#NO_TIMER}. */
    public long nextTimerNanos() {
        long next = retryAt;
        if (phase == Phase.READY) {
            if (pendingWrite.isEmpty() && changed()) {
                next = Math.min(next, nextWriteAt);
            }
            for (OpenIntent<C> entry : open.values()) {
                if (!ended.containsKey(entry.intent.id())) {
                    next = Math.min(next, entry.nextTimer());
                }
            }
        }
        return next;
    }

    private void onGained(long newFencing, long now, ActionSink<IntentAction<C>> actions) {
        stopActing();
        fencing = newFencing;
        highestFencing = Math.max(highestFencing, newFencing);
        // The predecessor's lease ended before this one began.
        inheritedQuietFrom = now + timing.quietNanos();
        phase = Phase.READING;
        actions.emit(new IntentAction.ReadJournal<>(fencing));
    }

    private void stopActing() {
        phase = Phase.NOT_HOLDING;
        open.clear();
        ended.clear();
        targets.clear();
        pendingWrite = Option.none();
        endedInWrite = Set.of();
        retryAt = Duty.NO_TIMER;
        writeFailures = 0;
    }

    private void takeOver(Journal<C> journal, long now, ActionSink<IntentAction<C>> actions) {
        phase = Phase.TAKING_OVER;
        open.clear();
        targets.clear();
        unsettledReceivers.clear();
        for (Intent<C> intent : journal.openIntents()) {
            OpenIntent<C> entry = new OpenIntent<>(intent, true, now);
            entry.inherit(inheritedQuietFrom);
            open.put(intent.id(), entry);
            targets.add(intent.command().target());
            if (!intent.command().fencingEnforced()) {
                unsettledReceivers.add(intent.command().receiver());
            }
        }
        journalVersion = journal.version();
        write(now, actions);
    }

    private void onCommitted(long version, long now, ActionSink<IntentAction<C>> actions) {
        IntentAction.WriteJournal<C> written = pendingWrite.get();
        pendingWrite = Option.none();
        retryAt = Duty.NO_TIMER;
        writeFailures = 0;
        journalVersion = version;
        phase = Phase.READY;
        for (Intent<C> intent : written.openIntents()) {
            Option.of(open.get(intent.id())).forEach(OpenIntent::markRecorded);
        }
        for (String id : endedInWrite) {
            OpenIntent<C> entry = open.remove(id);
            CommandResult result = ended.remove(id);
            if (entry != null && result != null) {
                targets.remove(entry.intent.command().target());
                actions.emit(new IntentAction.Completed<>(entry.intent, result));
            }
        }
        endedInWrite = Set.of();
        advance(now, actions);
    }

    private void onConflict(
            IntentEvent.Conflicted<C> conflict, long now, ActionSink<IntentAction<C>> actions) {
        if (conflict.current().isEmpty()) {
            // The lease has been taken over; the loss is reported by the lease duty as well.
            stopActing();
            return;
        }
        Journal<C> present = conflict.current().get();
        if (present.writer().equals(conflict.writer())) {
            onCommitted(present.version(), now, actions);
            return;
        }
        invariants.check(
                Invariant.ONE_ORDERING_HOLDER,
                phase == Phase.TAKING_OVER,
                () -> "another process wrote the journal of " + role + " under this lease");
        pendingWrite = Option.none();
        takeOver(present, now, actions);
    }

    private void onAttempted(
            IntentEvent.AttemptEnded<C> attempted, long now, ActionSink<IntentAction<C>> actions) {
        Option<OpenIntent<C>> found = Option.of(open.get(attempted.id()));
        if (attempted.fencing() != fencing
                || !found.exists(entry -> entry.awaits(attempted.attempt()))) {
            return;
        }
        OpenIntent<C> entry = found.get();
        entry.attempted(attempted.result(), now, timing.quietNanos());
        if (entry.needsRetryDelay(attempted.result())) {
            entry.retryAt(now + timing.retryNanos(entry.failures(), random));
        }
        advance(now, actions);
    }

    private void advance(long now, ActionSink<IntentAction<C>> actions) {
        if (phase != Phase.READY) {
            return;
        }
        for (OpenIntent<C> entry : open.values()) {
            String id = entry.intent.id();
            if (!ended.containsKey(id)) {
                entry.ended(now).forEach(result -> ended.put(id, result));
            }
        }
        for (OpenIntent<C> entry : open.values()) {
            if (entry.due(now)) {
                carryOut(entry, now, actions);
            }
        }
        if (pendingWrite.isEmpty() && changed() && now >= nextWriteAt) {
            write(now, actions);
        }
    }

    private void carryOut(OpenIntent<C> entry, long now, ActionSink<IntentAction<C>> actions) {
        Intent<C> intent = entry.intent;
        boolean unsettled =
                intent.fencing() != fencing && !intent.command().fencingEnforced()
                        || unsettledReceivers.contains(intent.command().receiver());
        invariants.check(
                Invariant.ONE_ORDERING_HOLDER,
                fencing == highestFencing
                        && intent.fencing() <= fencing
                        && (!unsettled || now >= inheritedQuietFrom),
                () -> intent.id() + " would be sent while an earlier holder may still send it");
        actions.emit(new IntentAction.SendCommand<>(fencing, entry.send(now), intent));
    }

    private boolean changed() {
        return !ended.isEmpty() || open.values().stream().anyMatch(entry -> !entry.recorded());
    }

    private void write(long now, ActionSink<IntentAction<C>> actions) {
        List<Intent<C>> left = new ArrayList<>();
        for (OpenIntent<C> entry : open.values()) {
            if (!ended.containsKey(entry.intent.id())) {
                left.add(entry.intent);
            }
        }
        endedInWrite = Set.copyOf(ended.keySet());
        nextWriteAt = now + timing.minWriteInterval().toNanos();
        IntentAction.WriteJournal<C> action =
                new IntentAction.WriteJournal<>(
                        fencing, role + "#" + fencing + "#" + ++writes, journalVersion, left);
        pendingWrite = Option.some(action);
        actions.emit(action);
    }

    private boolean isPending(String writer) {
        return pendingWrite.exists(write -> write.writer().equals(writer));
    }

    private enum Phase {
        NOT_HOLDING,
        READING,
        TAKING_OVER,
        READY
    }
}

package org.fuchsialever.node.intent;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.intent.IntentEvent;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;

/** Executes the actions of the intent machine of one role and returns their results as events. */
public final class RoleIntents<C extends IntentCommand> implements Leases.LeaseListener {
    private static final PartLogger LOG = PartLogger.of("intent");
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private final String mRole;
    private final JournalRows<C> mRows;
    private final TableService mTables;
    private final Leases mLeases;
    private final CommandSender<C> mSender;
    private final InvariantMonitor mInvariants;
    private final MeterRegistry mMeters;
    private final Consumer<IntentEvent<C>> mEvents;
    private volatile Option<HeldLease> mLease = Option.none();

    /**
     * Creates the executor of one role.
     *
     * @param role the role, which is also the key of its journal row
     * @param codec encodes the commands in the journal
     * @param services table service, leases, invariants and metrics
     * @param sender sends the commands
     * @param events receives the results, on several threads
     */
    public RoleIntents(
            String role,
            CommandCodec<C> codec,
            IntentServices services,
            CommandSender<C> sender,
            Consumer<IntentEvent<C>> events) {
        mRole = role;
        mRows = new JournalRows<>(codec);
        mTables = services.tables();
        mLeases = services.leases();
        mInvariants = services.invariants();
        mMeters = services.meters();
        mSender = sender;
        mEvents = events;
    }

    @Override
    public void onAcquired(HeldLease acquired) {
        mLease = Option.some(acquired);
        mEvents.accept(new IntentEvent.LeaseAcquired<>(acquired.fencing()));
    }

    @Override
    public void onLost(String lostRole) {
        mLease = Option.none();
        mEvents.accept(new IntentEvent.LeaseLost<>());
    }

    /** Executes one action; does not block. */
    public void execute(IntentAction<C> action) {
        if (action instanceof IntentAction.ReadJournal<C> read) {
            readJournal(read.fencing());
        } else if (action instanceof IntentAction.WriteJournal<C> write) {
            writeJournal(write);
        } else if (action instanceof IntentAction.SendCommand<C> order) {
            sendCommand(order);
        }
    }

    private void readJournal(long fencing) {
        mTables.read(JournalRows.TABLE, mRole)
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        row -> mEvents.accept(journalRead(fencing, row)),
                        failure -> {
                            count("read-failed");
                            mEvents.accept(new IntentEvent.ReadFailed<>(fencing));
                        });
    }

    private IntentEvent<C> journalRead(long fencing, Option<Row> row) {
        Option<Journal<C>> journal =
                row.isEmpty() ? Option.some(Journal.absent()) : decode(row.get());
        return journal.isEmpty()
                ? new IntentEvent.ReadFailed<>(fencing)
                : new IntentEvent.JournalRead<>(fencing, journal.get());
    }

    private void writeJournal(IntentAction.WriteJournal<C> write) {
        Option<HeldLease> held = mLease.filter(current -> current.fencing() == write.fencing());
        if (held.isEmpty()) {
            mEvents.accept(new IntentEvent.Conflicted<>(write.writer(), Option.none()));
            return;
        }
        HeldLease guard = held.get();
        Commit commit =
                new Commit(
                        write.writer(),
                        List.of(
                                new Commit.Condition(
                                        guard.guardTable(), guard.guardKey(), guard.guardVersion()),
                                new Commit.Condition(
                                        JournalRows.TABLE, mRole, write.expectedVersion())),
                        List.of(
                                new Commit.Put(
                                        JournalRows.TABLE,
                                        mRole,
                                        mRows.encode(write.openIntents()))),
                        List.of());
        mTables.commit(commit)
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        result -> mEvents.accept(writeResult(write.writer(), guard, result)),
                        failure -> {
                            count("write-unanswered");
                            mEvents.accept(new IntentEvent.WriteOutcomeUnknown<>(write.writer()));
                        });
    }

    private IntentEvent<C> writeResult(String writer, HeldLease guard, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new IntentEvent.Committed<>(writer, committed.version());
        }
        count("write-conflict");
        Option<Row> journal = Option.none();
        for (Row row : ((CommitResult.Conflict) result).rows()) {
            if (row.table().equals(guard.guardTable()) && row.key().equals(guard.guardKey())) {
                return new IntentEvent.Conflicted<>(writer, Option.none());
            }
            journal = Option.some(row);
        }
        Option<Journal<C>> current = journal.flatMap(this::decode);
        return journal.isDefined() && current.isEmpty()
                ? new IntentEvent.WriteOutcomeUnknown<>(writer)
                : new IntentEvent.Conflicted<>(writer, current);
    }

    private Option<Journal<C>> decode(Row row) {
        return mRows.decode(row)
                .onEmpty(
                        () -> {
                            count("row-malformed");
                            LOG.warning("The journal of role " + mRole + " is malformed.");
                        });
    }

    private void sendCommand(IntentAction.SendCommand<C> order) {
        Option<HeldLease> held = mLease.filter(current -> current.fencing() == order.fencing());
        if (held.isEmpty()) {
            attemptEnded(order, CommandResult.NOT_SENT);
            return;
        }
        HeldLease guard = held.get();
        mSender.send(order, () -> mLeases.isValid(guard))
                .onErrorReturn(CommandResult.UNKNOWN)
                .defaultIfEmpty(CommandResult.UNKNOWN)
                .subscribe(
                        result -> {
                            // Another holder has sent commands, so this one must not hold the role.
                            mInvariants.check(
                                    Invariant.ONE_ORDERING_HOLDER,
                                    result != CommandResult.STALE_FENCING
                                            || !mLeases.isValid(guard),
                                    () ->
                                            order.intent().id()
                                                    + " was refused for a higher fencing token");
                            attemptEnded(order, result);
                        });
    }

    private void attemptEnded(IntentAction.SendCommand<C> order, CommandResult result) {
        count("attempt-" + result.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        mEvents.accept(
                new IntentEvent.AttemptEnded<>(
                        order.fencing(), order.intent().id(), order.attempt(), result));
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.intent.results")
                .tag("role", mRole)
                .tag("reason", reason)
                .register(mMeters)
                .increment();
    }
}

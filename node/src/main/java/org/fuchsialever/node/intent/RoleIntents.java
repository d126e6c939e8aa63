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

/** Carries out the actions of the intent machine of one role. */
public final class RoleIntents<C extends IntentCommand> implements Leases.LeaseListener {
    private static final PartLogger LOG = PartLogger.of("intent");
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final String role;
    private final JournalRows<C> rows;
    private final TableService tables;
    private final Leases leases;
    private final CommandSender<C> carrier;
    private final InvariantMonitor invariants;
    private final MeterRegistry meters;
    private final Consumer<IntentEvent<C>> events;
    private volatile Option<HeldLease> lease = Option.none();

    /**
     * Creates the connection of one role.
     *
     * @param role the role, whose journal row has the same key
     * @param codec text form of its commands
     * @param services table service, leases, invariants and metrics
     * @param carrier sends the acts
     * @param events receives the results, on several threads
     */
    public RoleIntents(
            String role,
            CommandCodec<C> codec,
            IntentServices services,
            CommandSender<C> carrier,
            Consumer<IntentEvent<C>> events) {
        this.role = role;
        this.rows = new JournalRows<>(codec);
        this.tables = services.tables();
        this.leases = services.leases();
        this.invariants = services.invariants();
        this.meters = services.meters();
        this.carrier = carrier;
        this.events = events;
    }

    @Override
    public void onAcquired(HeldLease gainedLease) {
        lease = Option.some(gainedLease);
        events.accept(new IntentEvent.LeaseAcquired<>(gainedLease.fencing()));
    }

    @Override
    public void onLost(String lostRole) {
        lease = Option.none();
        events.accept(new IntentEvent.LeaseLost<>());
    }

    /** Carries out one action; does not block. */
    public void execute(IntentAction<C> action) {
        if (action instanceof IntentAction.ReadJournal<C> read) {
            read(read.fencing());
        } else if (action instanceof IntentAction.WriteJournal<C> write) {
            write(write);
        } else if (action instanceof IntentAction.SendCommand<C> order) {
            send(order);
        }
    }

    private void read(long fencing) {
        tables.read(JournalRows.TABLE, role)
                .timeout(ANSWER_TIMEOUT)
                .subscribe(
                        row -> events.accept(journalRead(fencing, row)),
                        failure -> {
                            count("read-failed");
                            events.accept(new IntentEvent.ReadFailed<>(fencing));
                        });
    }

    private IntentEvent<C> journalRead(long fencing, Option<Row> row) {
        Option<Journal<C>> journal =
                row.isEmpty() ? Option.some(Journal.absent()) : decode(row.get());
        return journal.isEmpty()
                ? new IntentEvent.ReadFailed<>(fencing)
                : new IntentEvent.JournalRead<>(fencing, journal.get());
    }

    private void write(IntentAction.WriteJournal<C> write) {
        Option<HeldLease> held = lease.filter(current -> current.fencing() == write.fencing());
        if (held.isEmpty()) {
            events.accept(new IntentEvent.Conflicted<>(write.writer(), Option.none()));
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
                                        JournalRows.TABLE, role, write.expectedVersion())),
                        List.of(
                                new Commit.Put(
                                        JournalRows.TABLE, role, rows.encode(write.openIntents()))),
                        List.of());
        tables.commit(commit)
                .timeout(ANSWER_TIMEOUT)
                .subscribe(
                        result -> events.accept(written(write.writer(), guard, result)),
                        failure -> {
                            count("write-unanswered");
                            events.accept(new IntentEvent.WriteOutcomeUnknown<>(write.writer()));
                        });
    }

    private IntentEvent<C> written(String writer, HeldLease guard, CommitResult result) {
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
        Option<Journal<C>> present = journal.flatMap(this::decode);
        return journal.isDefined() && present.isEmpty()
                ? new IntentEvent.WriteOutcomeUnknown<>(writer)
                : new IntentEvent.Conflicted<>(writer, present);
    }

    private Option<Journal<C>> decode(Row row) {
        return rows.decode(row)
                .onEmpty(
                        () -> {
                            count("row-malformed");
                            LOG.warning("The journal of " + role + " is malformed.");
                        });
    }

    private void send(IntentAction.SendCommand<C> order) {
        Option<HeldLease> held = lease.filter(current -> current.fencing() == order.fencing());
        if (held.isEmpty()) {
            attempted(order, CommandResult.NOT_SENT);
            return;
        }
        HeldLease under = held.get();
        carrier.send(order, () -> leases.isValid(under))
                .onErrorReturn(CommandResult.UNKNOWN)
                .defaultIfEmpty(CommandResult.UNKNOWN)
                .subscribe(
                        result -> {
                            // Another holder has acted, so this one must not hold the role now.
                            invariants.check(
                                    Invariant.ONE_ORDERING_HOLDER,
                                    result != CommandResult.STALE_FENCING || !leases.isValid(under),
                                    () -> order.intent().id() + " met a higher fencing number");
                            attempted(order, result);
                        });
    }

    private void attempted(IntentAction.SendCommand<C> order, CommandResult result) {
        count("attempt-" + result.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        events.accept(
                new IntentEvent.AttemptEnded<>(
                        order.fencing(), order.intent().id(), order.attempt(), result));
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.intent.results")
                .tag("role", role)
                .tag("reason", reason)
                .register(meters)
                .increment();
    }
}

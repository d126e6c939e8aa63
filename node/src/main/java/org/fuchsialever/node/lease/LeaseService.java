package org.fuchsialever.node.lease;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.decisions.lease.LeaseAction;
import org.fuchsialever.decisions.lease.LeaseCommit;
import org.fuchsialever.decisions.lease.LeaseEvent;
import org.fuchsialever.decisions.lease.LeaseRow;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;

/** Connects the lease duty to the table service and answers which roles are held now. */
final class LeaseService implements Leases, ActionSink<LeaseAction> {
    private static final PartLogger LOG = PartLogger.of("lease");

    /** Half of the renewal period, so that a lost answer leaves time for a repeat. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

    private final TableService tables;
    private final TimeSource time;
    private final MeterRegistry meters;
    private final Map<String, LeaseListener> listeners = new ConcurrentHashMap<>();

    /** Written by the duty thread only; one object, so that readers never mix two sessions. */
    private volatile Holding holding = new Holding(Map.of(), Long.MIN_VALUE);

    private volatile ActionSink<LeaseEvent> duty =
            event -> {
                throw new IllegalStateException("the lease duty has not been connected");
            };

    LeaseService(TableService tables, TimeSource time, MeterRegistry meters) {
        this.tables = tables;
        this.time = time;
        this.meters = meters;
    }

    /** Sets the receiver of the events of the duty; it is called from several threads. */
    void connect(ActionSink<LeaseEvent> events) {
        duty = events;
    }

    @Override
    public void request(String role, LeaseListener listener) {
        listeners.put(role, listener);
        duty.emit(new LeaseEvent.RoleRequested(role));
    }

    @Override
    public void release(String role) {
        duty.emit(new LeaseEvent.RoleReleased(role));
    }

    @Override
    public Option<HeldLease> held(String role) {
        Holding current = holding;
        // The clock is read last: a pause before this line cannot make an expired lease look valid.
        return Option.of(current.leases.get(role))
                .filter(lease -> time.nanoTime() < current.validUntil);
    }

    @Override
    public void emit(LeaseAction action) {
        if (action instanceof LeaseAction.ReadTable read) {
            read(read.afterVersion());
        } else if (action instanceof LeaseAction.WriteRows write) {
            write(write.commit());
        } else if (action instanceof LeaseAction.StartHolding start) {
            start(start);
        } else if (action instanceof LeaseAction.ExtendHolding extend) {
            holding = new Holding(holding.leases, extend.validUntilNanos());
        } else if (action instanceof LeaseAction.StopHolding stop) {
            stop(stop.role());
        }
    }

    private void start(LeaseAction.StartHolding start) {
        LeaseRow.Role row = start.role();
        HeldLease lease =
                new HeldLease(row.role(), row.fencing(), LeaseRows.TABLE, row.key(), row.version());
        Map<String, HeldLease> leases = new TreeMap<>(holding.leases);
        leases.put(row.role(), lease);
        holding = new Holding(leases, start.validUntilNanos());
        LOG.info("Holding " + row.role() + " with fencing number " + row.fencing() + ".");
        Option.of(listeners.get(row.role())).forEach(listener -> listener.onAcquired(lease));
    }

    private void stop(String role) {
        Map<String, HeldLease> leases = new TreeMap<>(holding.leases);
        leases.remove(role);
        holding = new Holding(leases, holding.validUntil);
        LOG.info("No longer holding " + role + ".");
        Option.of(listeners.get(role)).forEach(listener -> listener.onLost(role));
    }

    private void read(long afterVersion) {
        tables.scan(LeaseRows.TABLE, "", afterVersion)
                .timeout(ANSWER_TIMEOUT)
                .subscribe(
                        rows -> duty.emit(new LeaseEvent.TableRead(afterVersion == 0, typed(rows))),
                        failure -> {
                            count("read-failed");
                            duty.emit(new LeaseEvent.ReadFailed());
                        });
    }

    private void write(LeaseCommit commit) {
        tables.commit(LeaseRows.encode(commit))
                .timeout(ANSWER_TIMEOUT)
                .subscribe(
                        result -> duty.emit(answer(commit, result)),
                        failure -> {
                            count("commit-unanswered");
                            duty.emit(new LeaseEvent.WriteOutcomeUnknown(commit.writer()));
                        });
    }

    private LeaseEvent answer(LeaseCommit commit, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new LeaseEvent.Committed(commit.writer(), committed.version());
        }
        count("commit-conflict");
        CommitResult.Conflict conflict = (CommitResult.Conflict) result;
        return new LeaseEvent.Conflicted(commit.writer(), typed(conflict.rows()));
    }

    private List<LeaseRow> typed(List<Row> rows) {
        return rows.stream().flatMap(row -> typed(row).toJavaStream()).toList();
    }

    private Option<LeaseRow> typed(Row row) {
        return LeaseRows.decode(row).onEmpty(() -> count("row-malformed"));
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.lease.retries")
                .tag("reason", reason)
                .register(meters)
                .increment();
    }

    private record Holding(Map<String, HeldLease> leases, long validUntil) {}
}

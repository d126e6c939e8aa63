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

/** Executes the actions of the lease duty and knows which roles are held now. */
final class LeaseService implements Leases, ActionSink<LeaseAction> {
    private static final PartLogger LOG = PartLogger.of("lease");

    /** Half of the renewal interval, so that a lost response leaves time for a retry. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private final TableService mTables;
    private final TimeSource mTime;
    private final MeterRegistry mMeters;
    private final Map<String, LeaseListener> mListeners = new ConcurrentHashMap<>();

    /** Written by the duty thread only; one object, so that readers see a consistent state. */
    private volatile Holding mHolding = new Holding(Map.of(), Long.MIN_VALUE);

    private volatile ActionSink<LeaseEvent> mDuty =
            event -> {
                throw new IllegalStateException("the lease duty has not been connected");
            };

    LeaseService(TableService tables, TimeSource time, MeterRegistry meters) {
        mTables = tables;
        mTime = time;
        mMeters = meters;
    }

    /** Sets the sink for events of the duty; it is called from several threads. */
    void connect(ActionSink<LeaseEvent> events) {
        mDuty = events;
    }

    @Override
    public void request(String role, LeaseListener listener) {
        mListeners.put(role, listener);
        mDuty.emit(new LeaseEvent.RoleRequested(role));
    }

    @Override
    public void release(String role) {
        mDuty.emit(new LeaseEvent.RoleReleased(role));
    }

    @Override
    public Option<HeldLease> held(String role) {
        Holding current = mHolding;
        // The clock is read last: a pause before this line cannot make an expired lease look valid.
        return Option.of(current.leases.get(role))
                .filter(lease -> mTime.nanoTime() < current.validUntil);
    }

    @Override
    public Option<HeldLease> heldFor(String role, Duration time) {
        Holding current = mHolding;
        return Option.of(current.leases.get(role))
                .filter(lease -> mTime.nanoTime() + time.toNanos() < current.validUntil);
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
            mHolding = new Holding(mHolding.leases, extend.validUntilNanos());
        } else if (action instanceof LeaseAction.StopHolding stop) {
            stop(stop.role());
        }
    }

    private void start(LeaseAction.StartHolding start) {
        LeaseRow.Role row = start.role();
        HeldLease lease =
                new HeldLease(row.role(), row.fencing(), LeaseRows.TABLE, row.key(), row.version());
        Map<String, HeldLease> leases = new TreeMap<>(mHolding.leases);
        leases.put(row.role(), lease);
        mHolding = new Holding(leases, start.validUntilNanos());
        LOG.info("Holding " + row.role() + " with fencing token " + row.fencing() + ".");
        Option.of(mListeners.get(row.role())).forEach(listener -> listener.onAcquired(lease));
    }

    private void stop(String role) {
        Map<String, HeldLease> leases = new TreeMap<>(mHolding.leases);
        leases.remove(role);
        mHolding = new Holding(leases, mHolding.validUntil);
        LOG.info("No longer holding " + role + ".");
        Option.of(mListeners.get(role)).forEach(listener -> listener.onLost(role));
    }

    private void read(long afterVersion) {
        mTables.scan(LeaseRows.TABLE, "", afterVersion)
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        rows ->
                                mDuty.emit(
                                        new LeaseEvent.TableRead(afterVersion == 0, decode(rows))),
                        failure -> {
                            count("read-failed");
                            mDuty.emit(new LeaseEvent.ReadFailed());
                        });
    }

    private void write(LeaseCommit commit) {
        mTables.commit(LeaseRows.encode(commit))
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        result -> mDuty.emit(toEvent(commit, result)),
                        failure -> {
                            count("commit-unanswered");
                            mDuty.emit(new LeaseEvent.WriteOutcomeUnknown(commit.writer()));
                        });
    }

    private LeaseEvent toEvent(LeaseCommit commit, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new LeaseEvent.Committed(commit.writer(), committed.version());
        }
        count("commit-conflict");
        CommitResult.Conflict conflict = (CommitResult.Conflict) result;
        return new LeaseEvent.Conflicted(commit.writer(), decode(conflict.rows()));
    }

    private List<LeaseRow> decode(List<Row> rows) {
        return rows.stream().flatMap(row -> decode(row).toJavaStream()).toList();
    }

    private Option<LeaseRow> decode(Row row) {
        return LeaseRows.decode(row).onEmpty(() -> count("row-malformed"));
    }

    private void count(String reason) {
        Counter.builder("fuchsialever.lease.retries")
                .tag("reason", reason)
                .register(mMeters)
                .increment();
    }

    private record Holding(Map<String, HeldLease> leases, long validUntil) {}
}

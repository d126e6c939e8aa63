package org.fuchsialever.node.usage;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.fuchsialever.decisions.audit.AuditChain;
import org.fuchsialever.decisions.audit.AuditRecord;
import org.fuchsialever.decisions.usage.ClosedWindow;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.decisions.usage.WindowCloserAction;
import org.fuchsialever.decisions.usage.WindowCloserEvent;
import org.fuchsialever.decisions.usage.WindowId;
import org.fuchsialever.decisions.usage.WindowLease;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.audit.AuditRecorder;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.UsageReportService;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Executes the actions of the window closer and returns their results as events. */
final class WindowCloserActions implements ActionSink<WindowCloserAction>, Leases.LeaseListener {
    private static final PartLogger LOG = PartLogger.of("window-closer");
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private final TableService mTables;
    private final UsageReportService mReports;
    private final Leases mLeases;
    private final AuditRecorder mAudit;
    private final TimeSource mTime;
    private final String mWriter;
    private final MeterRegistry mMeters;
    private final ActionSink<WindowCloserEvent> mDuty;
    private final AtomicLong mCommits = new AtomicLong();
    private final Map<StartId, Long> mTotalsVersions = new ConcurrentHashMap<>();

    WindowCloserActions(
            TableService tables,
            UsageReportService reports,
            Leases leases,
            AuditRecorder audit,
            TimeSource time,
            String writer,
            MeterRegistry meters,
            ActionSink<WindowCloserEvent> duty) {
        mTables = tables;
        mReports = reports;
        mLeases = leases;
        mAudit = audit;
        mTime = time;
        mWriter = writer;
        mMeters = meters;
        mDuty = duty;
    }

    /** Requests the leases of all roles. */
    void start() {
        for (int number = 0; number < WindowCloser.ROLE_COUNT; number++) {
            mLeases.request(WindowCloser.role(number), this);
        }
    }

    @Override
    public void onAcquired(HeldLease lease) {
        mDuty.emit(
                new WindowCloserEvent.LeaseAcquired(
                        new WindowLease(
                                lease.role(),
                                lease.fencing(),
                                lease.guardTable(),
                                lease.guardKey(),
                                lease.guardVersion())));
    }

    @Override
    public void onLost(String role) {
        mDuty.emit(new WindowCloserEvent.LeaseLost(role));
    }

    @Override
    public void emit(WindowCloserAction action) {
        if (action instanceof WindowCloserAction.ReadRows) {
            readRows();
        } else if (action instanceof WindowCloserAction.CloseWindow close) {
            closeWindow(close);
        } else if (action instanceof WindowCloserAction.SendReport send) {
            sendReport(send);
        } else if (action instanceof WindowCloserAction.MarkReported mark) {
            markReported(mark.window());
        } else if (action instanceof WindowCloserAction.DeleteTotals delete) {
            deleteTotals(delete.start());
        }
    }

    private void readRows() {
        Mono.zip(
                        mTables.scan(UsageRows.TABLE, UsageRows.TOTALS_PREFIX, 0),
                        scanDays(UsageRows.WINDOW_PREFIX),
                        scanDays(UsageRows.INCLUDED_PREFIX),
                        scanDays(UsageRows.REPORTED_PREFIX))
                .timeout(RESPONSE_TIMEOUT)
                .map(rows -> rowsRead(rows.getT1(), rows.getT2(), rows.getT3(), rows.getT4()))
                .subscribe(
                        mDuty::emit,
                        failure -> {
                            count("read-failed");
                            mDuty.emit(new WindowCloserEvent.ReadFailed());
                        });
    }

    private Mono<List<Row>> scanDays(String prefix) {
        long now = mTime.wallMillis();
        TreeSet<String> days = new TreeSet<>();
        for (long back = 0; back <= WindowCloser.CLOSED_WINDOW_LOOKBACK.toDays(); back++) {
            days.add(new WindowId(now - Duration.ofDays(back).toMillis()).day());
        }
        return Flux.fromIterable(days)
                .concatMap(day -> mTables.scan(UsageRows.TABLE, prefix + day, 0))
                .flatMapIterable(rows -> rows)
                .collectList();
    }

    private WindowCloserEvent rowsRead(
            List<Row> totals, List<Row> windows, List<Row> included, List<Row> reported) {
        mTotalsVersions.clear();
        for (Row row : totals) {
            Try.of(() -> UsageRows.start(row))
                    .forEach(start -> mTotalsVersions.put(start, row.version()));
        }
        return new WindowCloserEvent.RowsRead(
                mTime.wallMillis(),
                decode(totals, UsageRows::start, row -> UsageRows.decodeTotals(row.value())),
                decode(windows, UsageRows::window, row -> UsageRows.decodeWindow(row.value())),
                decode(included, UsageRows::window, UsageRows::decodeIncluded),
                decode(reported, UsageRows::window, Try::success).keySet());
    }

    private <K, V> Map<K, V> decode(
            List<Row> rows, Function<Row, K> key, Function<Row, Try<V>> value) {
        Map<K, V> decoded = new TreeMap<>();
        for (Row row : rows) {
            Try.of(() -> key.apply(row))
                    .flatMap(k -> value.apply(row).onSuccess(v -> decoded.put(k, v)))
                    .onFailure(
                            failure -> {
                                count("row-malformed");
                                LOG.warning("Row " + row.key() + " is malformed; it is ignored.");
                            });
        }
        return decoded;
    }

    private void closeWindow(WindowCloserAction.CloseWindow close) {
        WindowLease lease = close.lease();
        String key = UsageRows.WINDOW_PREFIX + close.window().label();
        List<Commit.Condition> conditions = new ArrayList<>();
        conditions.add(
                new Commit.Condition(lease.guardTable(), lease.guardKey(), lease.guardVersion()));
        conditions.add(new Commit.Condition(UsageRows.TABLE, key, 0));
        List<Commit.Put> puts = new ArrayList<>();
        puts.add(new Commit.Put(UsageRows.TABLE, key, UsageRows.encode(close.closed())));
        close.included()
                .forEach(
                        (window, totals) -> {
                            String row = UsageRows.INCLUDED_PREFIX + window.label();
                            conditions.add(
                                    new Commit.Condition(UsageRows.TABLE, row, totals.version()));
                            puts.add(
                                    new Commit.Put(UsageRows.TABLE, row, UsageRows.encode(totals)));
                        });
        mTables.commit(new Commit(nextWriterId(), conditions, puts, List.of()))
                .timeout(RESPONSE_TIMEOUT)
                .map(result -> closeResult(close, key, result))
                .subscribe(
                        mDuty::emit,
                        failure -> {
                            count("fix-unanswered");
                            mDuty.emit(new WindowCloserEvent.CloseFailed(close.window()));
                        });
    }

    private WindowCloserEvent closeResult(
            WindowCloserAction.CloseWindow close, String key, CommitResult result) {
        if (result instanceof CommitResult.Committed) {
            LOG.info("Window " + close.window().label() + " is closed.");
            return new WindowCloserEvent.WindowClosed(close.window(), close.closed());
        }
        count("fix-conflict");
        Option<ClosedWindow> current =
                Option.ofOptional(
                                ((CommitResult.Conflict) result)
                                        .rows().stream()
                                                .filter(row -> row.key().equals(key))
                                                .findFirst())
                        .flatMap(row -> UsageRows.decodeWindow(row.value()).toOption());
        return current.<WindowCloserEvent>map(
                        closed -> new WindowCloserEvent.WindowClosed(close.window(), closed))
                .getOrElse(() -> new WindowCloserEvent.CloseFailed(close.window()));
    }

    private void sendReport(WindowCloserAction.SendReport send) {
        WindowLease lease = send.lease();
        HeldLease held =
                new HeldLease(
                        lease.role(),
                        lease.fencing(),
                        lease.guardTable(),
                        lease.guardKey(),
                        lease.guardVersion());
        mReports.report(
                        send.window().label(),
                        send.report().getBytes(StandardCharsets.UTF_8),
                        () -> mLeases.isValid(held))
                .subscribe(
                        accepted -> onReportResponse(send, accepted),
                        failure -> {
                            count("report-failed");
                            mDuty.emit(new WindowCloserEvent.ReportFailed(send.window()));
                        });
    }

    private void onReportResponse(WindowCloserAction.SendReport send, boolean accepted) {
        if (accepted) {
            mAudit.record(
                    new AuditRecord.UsageReported(
                            send.window().label(),
                            AuditChain.hash(send.report()),
                            send.lease().fencing()));
            mDuty.emit(new WindowCloserEvent.ReportAccepted(send.window()));
        } else {
            mDuty.emit(new WindowCloserEvent.ReportRefused(send.window()));
        }
    }

    private void markReported(WindowId window) {
        String key = UsageRows.REPORTED_PREFIX + window.label();
        Commit commit =
                new Commit(
                        nextWriterId(),
                        List.of(new Commit.Condition(UsageRows.TABLE, key, 0)),
                        List.of(new Commit.Put(UsageRows.TABLE, key, "accepted")),
                        List.of());
        mTables.commit(commit)
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(result -> {}, failure -> count("mark-unanswered"));
    }

    private void deleteTotals(StartId start) {
        Long version = mTotalsVersions.get(start);
        if (version != null) {
            String key = UsageRows.totalsKey(start);
            Commit commit =
                    new Commit(
                            nextWriterId(),
                            List.of(new Commit.Condition(UsageRows.TABLE, key, version)),
                            List.of(),
                            List.of(new Commit.Delete(UsageRows.TABLE, key)));
            mTables.commit(commit)
                    .timeout(RESPONSE_TIMEOUT)
                    .subscribe(result -> {}, failure -> count("delete-unanswered"));
        }
    }

    private String nextWriterId() {
        return mWriter + "-closer-" + mCommits.incrementAndGet();
    }

    private void count(String reason) {
        mMeters.counter("fuchsialever.usage.retries", "reason", reason).increment();
    }
}

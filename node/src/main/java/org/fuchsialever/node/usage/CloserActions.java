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

/** Carries out the actions of the window closer. */
final class CloserActions implements ActionSink<WindowCloserAction>, Leases.LeaseListener {
    private static final PartLogger LOG = PartLogger.of("window-closer");
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

    private final TableService tables;
    private final UsageReportService reports;
    private final Leases leases;
    private final AuditRecorder audit;
    private final TimeSource time;
    private final String writer;
    private final MeterRegistry meters;
    private final ActionSink<WindowCloserEvent> duty;
    private final AtomicLong commits = new AtomicLong();
    private final Map<StartId, Long> totalsVersions = new ConcurrentHashMap<>();

    CloserActions(
            TableService tables,
            UsageReportService reports,
            Leases leases,
            AuditRecorder audit,
            TimeSource time,
            String writer,
            MeterRegistry meters,
            ActionSink<WindowCloserEvent> duty) {
        this.tables = tables;
        this.reports = reports;
        this.leases = leases;
        this.audit = audit;
        this.time = time;
        this.writer = writer;
        this.meters = meters;
        this.duty = duty;
    }

    /** Asks for all roles. */
    void start() {
        for (int number = 0; number < WindowCloser.ROLE_COUNT; number++) {
            leases.request(WindowCloser.role(number), this);
        }
    }

    @Override
    public void onAcquired(HeldLease lease) {
        duty.emit(
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
        duty.emit(new WindowCloserEvent.LeaseLost(role));
    }

    @Override
    public void emit(WindowCloserAction action) {
        if (action instanceof WindowCloserAction.ReadRows) {
            read();
        } else if (action instanceof WindowCloserAction.CloseWindow fix) {
            fix(fix);
        } else if (action instanceof WindowCloserAction.SendReport send) {
            send(send);
        } else if (action instanceof WindowCloserAction.MarkReported mark) {
            markReported(mark.window());
        } else if (action instanceof WindowCloserAction.DeleteTotals delete) {
            delete(delete.start());
        }
    }

    private void read() {
        Mono.zip(
                        tables.scan(UsageRows.TABLE, UsageRows.TOTALS_PREFIX, 0),
                        scanDays(UsageRows.WINDOW_PREFIX),
                        scanDays(UsageRows.INCLUDED_PREFIX),
                        scanDays(UsageRows.REPORTED_PREFIX))
                .timeout(ANSWER_TIMEOUT)
                .map(rows -> rowsRead(rows.getT1(), rows.getT2(), rows.getT3(), rows.getT4()))
                .subscribe(
                        duty::emit,
                        failure -> {
                            count("read-failed");
                            duty.emit(new WindowCloserEvent.ReadFailed());
                        });
    }

    private Mono<List<Row>> scanDays(String prefix) {
        long now = time.wallMillis();
        TreeSet<String> days = new TreeSet<>();
        for (long back = 0; back <= WindowCloser.CLOSED_WINDOW_LOOKBACK.toDays(); back++) {
            days.add(new WindowId(now - Duration.ofDays(back).toMillis()).day());
        }
        return Flux.fromIterable(days)
                .concatMap(day -> tables.scan(UsageRows.TABLE, prefix + day, 0))
                .flatMapIterable(rows -> rows)
                .collectList();
    }

    private WindowCloserEvent rowsRead(
            List<Row> totals, List<Row> windows, List<Row> included, List<Row> reported) {
        totalsVersions.clear();
        for (Row row : totals) {
            Try.of(() -> UsageRows.start(row))
                    .forEach(start -> totalsVersions.put(start, row.version()));
        }
        return new WindowCloserEvent.RowsRead(
                time.wallMillis(),
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
                                LOG.warning("Row " + row.key() + " cannot be used.");
                            });
        }
        return decoded;
    }

    private void fix(WindowCloserAction.CloseWindow fix) {
        WindowLease lease = fix.lease();
        String key = UsageRows.WINDOW_PREFIX + fix.window().label();
        List<Commit.Condition> conditions = new ArrayList<>();
        conditions.add(
                new Commit.Condition(lease.guardTable(), lease.guardKey(), lease.guardVersion()));
        conditions.add(new Commit.Condition(UsageRows.TABLE, key, 0));
        List<Commit.Put> puts = new ArrayList<>();
        puts.add(new Commit.Put(UsageRows.TABLE, key, UsageRows.encode(fix.closed())));
        fix.included()
                .forEach(
                        (window, totals) -> {
                            String row = UsageRows.INCLUDED_PREFIX + window.label();
                            conditions.add(
                                    new Commit.Condition(UsageRows.TABLE, row, totals.version()));
                            puts.add(
                                    new Commit.Put(UsageRows.TABLE, row, UsageRows.encode(totals)));
                        });
        tables.commit(new Commit(nextWriter(), conditions, puts, List.of()))
                .timeout(ANSWER_TIMEOUT)
                .map(result -> fixAnswered(fix, key, result))
                .subscribe(
                        duty::emit,
                        failure -> {
                            count("fix-unanswered");
                            duty.emit(new WindowCloserEvent.CloseFailed(fix.window()));
                        });
    }

    private WindowCloserEvent fixAnswered(
            WindowCloserAction.CloseWindow fix, String key, CommitResult result) {
        if (result instanceof CommitResult.Committed) {
            LOG.info("Window " + fix.window().label() + " is fixed.");
            return new WindowCloserEvent.WindowClosed(fix.window(), fix.closed());
        }
        count("fix-conflict");
        Option<ClosedWindow> present =
                Option.ofOptional(
                                ((CommitResult.Conflict) result)
                                        .rows().stream()
                                                .filter(row -> row.key().equals(key))
                                                .findFirst())
                        .flatMap(row -> UsageRows.decodeWindow(row.value()).toOption());
        return present.<WindowCloserEvent>map(
                        fixed -> new WindowCloserEvent.WindowClosed(fix.window(), fixed))
                .getOrElse(() -> new WindowCloserEvent.CloseFailed(fix.window()));
    }

    private void send(WindowCloserAction.SendReport send) {
        WindowLease lease = send.lease();
        HeldLease held =
                new HeldLease(
                        lease.role(),
                        lease.fencing(),
                        lease.guardTable(),
                        lease.guardKey(),
                        lease.guardVersion());
        reports.report(
                        send.window().label(),
                        send.report().getBytes(StandardCharsets.UTF_8),
                        () -> leases.isValid(held))
                .subscribe(
                        accepted -> reportAnswered(send, accepted),
                        failure -> {
                            count("report-failed");
                            duty.emit(new WindowCloserEvent.ReportFailed(send.window()));
                        });
    }

    private void reportAnswered(WindowCloserAction.SendReport send, boolean accepted) {
        if (accepted) {
            audit.record(
                    new AuditRecord.UsageReported(
                            send.window().label(),
                            AuditChain.hash(send.report()),
                            send.lease().fencing()));
            duty.emit(new WindowCloserEvent.ReportAccepted(send.window()));
        } else {
            duty.emit(new WindowCloserEvent.ReportRefused(send.window()));
        }
    }

    private void markReported(WindowId window) {
        String key = UsageRows.REPORTED_PREFIX + window.label();
        Commit commit =
                new Commit(
                        nextWriter(),
                        List.of(new Commit.Condition(UsageRows.TABLE, key, 0)),
                        List.of(new Commit.Put(UsageRows.TABLE, key, "accepted")),
                        List.of());
        tables.commit(commit)
                .timeout(ANSWER_TIMEOUT)
                .subscribe(result -> {}, failure -> count("mark-unanswered"));
    }

    private void delete(StartId start) {
        Long version = totalsVersions.get(start);
        if (version != null) {
            String key = UsageRows.totalsKey(start);
            Commit commit =
                    new Commit(
                            nextWriter(),
                            List.of(new Commit.Condition(UsageRows.TABLE, key, version)),
                            List.of(),
                            List.of(new Commit.Delete(UsageRows.TABLE, key)));
            tables.commit(commit)
                    .timeout(ANSWER_TIMEOUT)
                    .subscribe(result -> {}, failure -> count("delete-unanswered"));
        }
    }

    private String nextWriter() {
        return writer + "-closer-" + commits.incrementAndGet();
    }

    private void count(String reason) {
        meters.counter("fuchsialever.usage.retries", "reason", reason).increment();
    }
}

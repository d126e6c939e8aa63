package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.function.Consumer;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.HeadCommit;
import org.fuchsialever.decisions.samples.RolloutEvent;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import reactor.core.publisher.Mono;

/** Sends commits while this instance holds the lease of a trainer, and reports their results. */
final class CommitSender {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final TableService mTables;
    private final Leases mLeases;
    private final String mHolder;
    private final TimeSource mTime;

    CommitSender(TableService tables, Leases leases, String holder, TimeSource time) {
        mTables = tables;
        mLeases = leases;
        mHolder = holder;
        mTime = time;
    }

    void send(
            TrainerName trainer,
            long term,
            HeadCommit commit,
            String team,
            Consumer<RolloutEvent> listener) {
        Option<HeldLease> lease =
                mLeases.held(RolloutRows.role(trainer)).filter(held -> held.fencing() == term);
        RolloutEvent unknown =
                new RolloutEvent.CommitOutcomeUnknown(trainer, term, commit.writer());
        if (lease.isEmpty()) {
            listener.accept(unknown);
            return;
        }
        Mono.defer(
                        () ->
                                mTables.commit(
                                        RolloutRows.encode(
                                                trainer,
                                                commit,
                                                lease.get(),
                                                mHolder,
                                                team,
                                                mTime.wallMillis())))
                .timeout(TIMEOUT)
                .map(result -> eventOf(trainer, term, commit, result))
                .onErrorReturn(unknown)
                .defaultIfEmpty(unknown)
                .subscribe(listener);
    }

    private static RolloutEvent eventOf(
            TrainerName trainer, long term, HeadCommit commit, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new RolloutEvent.CommitSucceeded(
                    trainer, term, commit.writer(), committed.version());
        }
        CommitResult.Conflict conflict = (CommitResult.Conflict) result;
        Option<RolloutEvent.RowWriter> head =
                row(conflict, RolloutRows.DELIVERIES, RolloutRows.cursorKey(trainer))
                        .map(row -> new RolloutEvent.RowWriter(row.writer(), row.version()));
        Option<String> submitted =
                commit.submission()
                        .flatMap(
                                added ->
                                        row(
                                                conflict,
                                                RolloutRows.GROUPS,
                                                RolloutRows.stepKey(trainer, added.step())))
                        .map(
                                row ->
                                        RolloutRows.read(row.value(), RolloutRows.StepRow.class)
                                                .object());
        return new RolloutEvent.CommitConflicted(trainer, term, commit.writer(), head, submitted);
    }

    private static Option<Row> row(CommitResult.Conflict conflict, String table, String key) {
        return Option.ofOptional(
                conflict.rows().stream()
                        .filter(row -> row.table().equals(table) && row.key().equals(key))
                        .findFirst());
    }
}

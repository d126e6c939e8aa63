package org.fuchsialever.node.audit;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.audit.AuditAction;
import org.fuchsialever.decisions.audit.AuditEvent;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;

/** Executes the actions of the audit duty and returns their results as events. */
final class AuditActions implements ActionSink<AuditAction> {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private final TableService mTables;
    private final ObjectStore mObjects;
    private final String mStartPath;
    private final MeterRegistry mMeters;
    private final ActionSink<AuditEvent> mDuty;
    private final AtomicLong mCommits = new AtomicLong();
    private final CountDownLatch mStopped = new CountDownLatch(1);

    AuditActions(
            TableService tables,
            ObjectStore objects,
            String startPath,
            MeterRegistry meters,
            ActionSink<AuditEvent> duty) {
        mTables = tables;
        mObjects = objects;
        mStartPath = startPath;
        mMeters = meters;
        mDuty = duty;
    }

    /** Returns a latch that is released when the batch with the end marker is stored. */
    CountDownLatch stopped() {
        return mStopped;
    }

    @Override
    public void emit(AuditAction action) {
        if (action instanceof AuditAction.StoreBatch store) {
            store(store);
        } else if (action instanceof AuditAction.WriteIndex write) {
            writeIndex(write);
        } else if (action instanceof AuditAction.RecordsLost lost) {
            mMeters.counter("fuchsialever.audit.lost", "reason", "store-backlog-full")
                    .increment(lost.count());
        } else if (action instanceof AuditAction.Stopped) {
            mStopped.countDown();
        }
    }

    private void store(AuditAction.StoreBatch store) {
        long sequence = store.batch().sequence();
        // The object name contains the start ID, so an existing object is this batch.
        mObjects.putIfAbsent(store.objectName(), store.batch().bytes())
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        created -> mDuty.emit(new AuditEvent.BatchStored(sequence)),
                        failure -> {
                            count("store-failed");
                            mDuty.emit(new AuditEvent.BatchFailed(sequence));
                        });
    }

    private void writeIndex(AuditAction.WriteIndex write) {
        String key = AuditRows.key(write.day(), mStartPath);
        Commit commit =
                new Commit(
                        mStartPath + "-audit-" + mCommits.incrementAndGet(),
                        List.of(new Commit.Condition(AuditRows.TABLE, key, write.version())),
                        List.of(new Commit.Put(AuditRows.TABLE, key, write.checkpoint().text())),
                        List.of());
        mTables.commit(commit)
                .timeout(RESPONSE_TIMEOUT)
                .subscribe(
                        result -> mDuty.emit(indexResult(write.day(), result)),
                        failure -> {
                            count("index-failed");
                            mDuty.emit(new AuditEvent.IndexFailed(write.day()));
                        });
    }

    private AuditEvent indexResult(String day, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            return new AuditEvent.IndexWritten(day, committed.version());
        }
        count("index-conflict");
        List<Row> rows = ((CommitResult.Conflict) result).rows();
        return new AuditEvent.IndexConflicted(day, rows.isEmpty() ? 0 : rows.get(0).version());
    }

    private void count(String reason) {
        mMeters.counter("fuchsialever.audit.retries", "reason", reason).increment();
    }
}

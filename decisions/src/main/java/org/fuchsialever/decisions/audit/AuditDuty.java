package org.fuchsialever.decisions.audit;

import io.vavr.control.Option;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Collects records into batches, stores these in order and writes an index row every 10 s. While
 * the object store is unavailable, full batches wait in a bounded buffer; records that do not fit
 * are counted, and the count is recorded as soon as records are accepted again.
 */
public final class AuditDuty implements Duty<AuditEvent, AuditAction> {
    /** Maximum number of records in a batch. */
    public static final int MAX_BATCH_RECORDS = 1_000;

    static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private static final long BATCH_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long INDEX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final DateTimeFormatter DAY = DateTimeFormatter.ofPattern("yyyyMMdd");

    private final AuditChain mChain;
    private final AuditRecord.Encoder mEncoder;
    private final int mMaxWaiting;
    private final Deque<Sealed> mWaiting = new ArrayDeque<>();
    private final DayIndex mIndex = new DayIndex();
    private final String mStart;

    private List<String> mOpenBatch = new ArrayList<>();
    private String mOpenDay = "";
    private long mSealNanos = NO_TIMER;
    private long mRetryNanos = NO_TIMER;
    private long mNextIndexNanos;
    private long mLost;
    private boolean mStopping;
    private boolean mStopped;

    /**
     * Creates the duty.
     *
     * @param start instance and start ID, joined by a slash
     * @param encoder encodes records
     * @param maxWaiting maximum number of batches that wait for the object store
     * @param startNanos monotonic time in nanoseconds
     * @param phaseNanos delay of the first index row, to spread the writes of the instances
     */
    public AuditDuty(
            String start,
            AuditRecord.Encoder encoder,
            int maxWaiting,
            long startNanos,
            long phaseNanos) {
        mStart = start;
        mChain = new AuditChain(start);
        mEncoder = encoder;
        mMaxWaiting = maxWaiting;
        mNextIndexNanos = startNanos + phaseNanos;
    }

    @Override
    public String dutyName() {
        return "audit";
    }

    @Override
    public void onEvent(AuditEvent event, long nowNanos, ActionSink<AuditAction> actions) {
        if (event instanceof AuditEvent.Recorded recorded) {
            record(recorded, nowNanos, actions);
        } else if (event instanceof AuditEvent.BatchStored stored) {
            onStored(stored.sequence(), nowNanos, actions);
        } else if (event instanceof AuditEvent.BatchFailed failure) {
            if (isFirst(failure.sequence())) {
                mRetryNanos = nowNanos + BATCH_INTERVAL_NANOS;
            }
        } else if (event instanceof AuditEvent.IndexWritten written) {
            mIndex.written(written.day(), written.version());
            writeLastIndex(nowNanos, actions);
        } else if (event instanceof AuditEvent.IndexConflicted conflict) {
            mIndex.conflicted(conflict.day(), conflict.version());
            mIndex.write(nowNanos, actions);
        } else if (event instanceof AuditEvent.IndexFailed) {
            mIndex.failed();
        } else if (event instanceof AuditEvent.Stop stop && !mStopping) {
            mStopping = true;
            mOpenDay = mOpenDay.isEmpty() ? day(stop.wallMillis()) : mOpenDay;
            seal(true, nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<AuditAction> actions) {
        if (mSealNanos <= nowNanos) {
            mSealNanos = NO_TIMER;
            // While earlier batches wait, the batch keeps growing: fewer, larger batches need less
            // memory and fewer objects.
            if (mWaiting.isEmpty()) {
                seal(false, nowNanos, actions);
            }
        }
        if (mRetryNanos <= nowNanos) {
            store(nowNanos, actions);
        }
        if (mNextIndexNanos <= nowNanos) {
            mNextIndexNanos = nowNanos + INDEX_INTERVAL_NANOS;
            mIndex.write(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(mNextIndexNanos, Math.min(mSealNanos, mRetryNanos));
    }

    /** Returns the UTC day of a wall-clock time, such as {@code 20261204}. */
    public static String day(long wallMillis) {
        return DAY.format(Instant.ofEpochMilli(wallMillis).atOffset(ZoneOffset.UTC));
    }

    private void record(
            AuditEvent.Recorded recorded, long nowNanos, ActionSink<AuditAction> actions) {
        String day = day(recorded.wallMillis());
        if (!mOpenBatch.isEmpty() && !day.equals(mOpenDay)) {
            seal(false, nowNanos, actions);
        }
        if (mStopping || mWaiting.size() >= mMaxWaiting) {
            mLost++;
            actions.emit(new AuditAction.RecordsLost(1));
            return;
        }
        if (mOpenBatch.isEmpty()) {
            mOpenDay = day;
            mSealNanos = nowNanos + BATCH_INTERVAL_NANOS;
        }
        if (mLost > 0) {
            AuditRecord gap = new AuditRecord.RecordsLost(mLost);
            mOpenBatch.add(mEncoder.encode(recorded.wallMillis(), gap));
            mLost = 0;
        }
        mOpenBatch.add(mEncoder.encode(recorded.wallMillis(), recorded.record()));
        if (mOpenBatch.size() >= MAX_BATCH_RECORDS) {
            seal(false, nowNanos, actions);
        }
    }

    private void seal(boolean last, long nowNanos, ActionSink<AuditAction> actions) {
        mSealNanos = NO_TIMER;
        AuditBatch batch = mChain.append(mOpenBatch, last);
        mOpenBatch = new ArrayList<>();
        mWaiting.add(new Sealed(mOpenDay, batch, mChain.lastHash()));
        if (mWaiting.size() == 1) {
            store(nowNanos, actions);
        }
    }

    private void store(long nowNanos, ActionSink<AuditAction> actions) {
        mRetryNanos = NO_TIMER;
        Sealed first = mWaiting.peek();
        if (first != null) {
            mRetryNanos = nowNanos + WRITE_TIMEOUT_NANOS;
            String name = AuditBatch.objectName(first.day, mStart, first.batch.sequence());
            actions.emit(new AuditAction.StoreBatch(name, first.batch));
        }
    }

    private void onStored(long sequence, long nowNanos, ActionSink<AuditAction> actions) {
        if (!isFirst(sequence)) {
            return;
        }
        Sealed stored = mWaiting.remove();
        mIndex.stored(stored.day, stored.batch, stored.hash);
        if (mWaiting.isEmpty() && !mOpenBatch.isEmpty() && mSealNanos == NO_TIMER) {
            seal(false, nowNanos, actions);
        } else {
            store(nowNanos, actions);
        }
        writeLastIndex(nowNanos, actions);
    }

    private void writeLastIndex(long nowNanos, ActionSink<AuditAction> actions) {
        if (!mStopping || !mWaiting.isEmpty() || mStopped) {
            return;
        }
        if (mIndex.isWritten()) {
            mStopped = true;
            actions.emit(new AuditAction.Stopped());
        } else {
            mIndex.write(nowNanos, actions);
        }
    }

    private boolean isFirst(long sequence) {
        return Option.of(mWaiting.peek()).exists(first -> first.batch.sequence() == sequence);
    }

    private record Sealed(String day, AuditBatch batch, String hash) {}
}

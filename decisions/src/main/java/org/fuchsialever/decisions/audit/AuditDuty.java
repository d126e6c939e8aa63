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
 * Gathers records in batches, stores them in order and writes an index row every 10 s. While the
 * object store fails, full batches wait in bounded memory; records beyond it are counted, and the
 * count is a record of its own.
 */
public final class AuditDuty implements Duty<AuditEvent, AuditAction> {
    /** The most records in a batch. */
    public static final int MAX_BATCH_RECORDS = 1_000;

    static final long ANSWER_NANOS = TimeUnit.SECONDS.toNanos(20);

    private static final long BATCH_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long INDEX_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final DateTimeFormatter DAY = DateTimeFormatter.ofPattern("yyyyMMdd");

    private final AuditChain chain;
    private final AuditRecord.Encoder encoder;
    private final int maxWaiting;
    private final Deque<Sealed> waiting = new ArrayDeque<>();
    private final DayIndex index = new DayIndex();
    private final String start;

    private List<String> open = new ArrayList<>();
    private String openDay = "";
    private long sealNanos = NO_TIMER;
    private long retryNanos = NO_TIMER;
    private long nextIndexNanos;
    private long lost;
    private boolean stopping;
    private boolean stopped;

    /**
     * Creates the duty.
     *
     * @param start instance and start identity, joined by a slash
     * @param encoder gives the text of a record
     * @param maxWaiting the most batches that wait for the object store
     * @param startNanos monotonic time in nanoseconds
     * @param phaseNanos delay of the first index row, to spread the writes of the instances
     */
    public AuditDuty(
            String start,
            AuditRecord.Encoder encoder,
            int maxWaiting,
            long startNanos,
            long phaseNanos) {
        this.start = start;
        this.chain = new AuditChain(start);
        this.encoder = encoder;
        this.maxWaiting = maxWaiting;
        this.nextIndexNanos = startNanos + phaseNanos;
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
                retryNanos = nowNanos + BATCH_NANOS;
            }
        } else if (event instanceof AuditEvent.IndexWritten written) {
            index.written(written.day(), written.version());
            writeLastIndex(nowNanos, actions);
        } else if (event instanceof AuditEvent.IndexConflicted conflict) {
            index.conflicted(conflict.day(), conflict.version());
            index.write(nowNanos, actions);
        } else if (event instanceof AuditEvent.IndexFailed) {
            index.failed();
        } else if (event instanceof AuditEvent.Stop stop && !stopping) {
            stopping = true;
            openDay = openDay.isEmpty() ? day(stop.wallMillis()) : openDay;
            seal(true, nowNanos, actions);
        }
    }

    @Override
    public void onTimer(long nowNanos, ActionSink<AuditAction> actions) {
        if (sealNanos <= nowNanos) {
            sealNanos = NO_TIMER;
            // While earlier batches wait, larger batches need less memory and fewer objects.
            if (waiting.isEmpty()) {
                seal(false, nowNanos, actions);
            }
        }
        if (retryNanos <= nowNanos) {
            store(nowNanos, actions);
        }
        if (nextIndexNanos <= nowNanos) {
            nextIndexNanos = nowNanos + INDEX_NANOS;
            index.write(nowNanos, actions);
        }
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(nextIndexNanos, Math.min(sealNanos, retryNanos));
    }

    /** Returns the UTC day of a wall-clock time, such as {@code 20261204}. */
    public static String day(long wallMillis) {
        return DAY.format(Instant.ofEpochMilli(wallMillis).atOffset(ZoneOffset.UTC));
    }

    private void record(
            AuditEvent.Recorded recorded, long nowNanos, ActionSink<AuditAction> actions) {
        String day = day(recorded.wallMillis());
        if (!open.isEmpty() && !day.equals(openDay)) {
            seal(false, nowNanos, actions);
        }
        if (stopping || waiting.size() >= maxWaiting) {
            lost++;
            actions.emit(new AuditAction.RecordsLost(1));
            return;
        }
        if (open.isEmpty()) {
            openDay = day;
            sealNanos = nowNanos + BATCH_NANOS;
        }
        if (lost > 0) {
            AuditRecord gap = new AuditRecord.RecordsLost(lost);
            open.add(encoder.encode(recorded.wallMillis(), gap));
            lost = 0;
        }
        open.add(encoder.encode(recorded.wallMillis(), recorded.record()));
        if (open.size() >= MAX_BATCH_RECORDS) {
            seal(false, nowNanos, actions);
        }
    }

    private void seal(boolean last, long nowNanos, ActionSink<AuditAction> actions) {
        sealNanos = NO_TIMER;
        AuditBatch batch = chain.append(open, last);
        open = new ArrayList<>();
        waiting.add(new Sealed(openDay, batch, chain.lastHash()));
        if (waiting.size() == 1) {
            store(nowNanos, actions);
        }
    }

    private void store(long nowNanos, ActionSink<AuditAction> actions) {
        retryNanos = NO_TIMER;
        Sealed first = waiting.peek();
        if (first != null) {
            retryNanos = nowNanos + ANSWER_NANOS;
            String name = AuditBatch.objectName(first.day, start, first.batch.sequence());
            actions.emit(new AuditAction.StoreBatch(name, first.batch));
        }
    }

    private void onStored(long sequence, long nowNanos, ActionSink<AuditAction> actions) {
        if (!isFirst(sequence)) {
            return;
        }
        Sealed stored = waiting.remove();
        index.stored(stored.day, stored.batch, stored.hash);
        if (waiting.isEmpty() && !open.isEmpty() && sealNanos == NO_TIMER) {
            seal(false, nowNanos, actions);
        } else {
            store(nowNanos, actions);
        }
        writeLastIndex(nowNanos, actions);
    }

    private void writeLastIndex(long nowNanos, ActionSink<AuditAction> actions) {
        if (!stopping || !waiting.isEmpty() || stopped) {
            return;
        }
        if (index.isWritten()) {
            stopped = true;
            actions.emit(new AuditAction.Stopped());
        } else {
            index.write(nowNanos, actions);
        }
    }

    private boolean isFirst(long sequence) {
        return Option.of(waiting.peek()).exists(first -> first.batch.sequence() == sequence);
    }

    private record Sealed(String day, AuditBatch batch, String hash) {}
}

package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.fuchsialever.decisions.model.TrainerName;
import org.fuchsialever.decisions.samples.BatchRecord;
import org.fuchsialever.decisions.samples.LogHead;
import org.fuchsialever.decisions.samples.RestoredLog;
import org.fuchsialever.kernel.time.TimeSource;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.Row;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/** Reads the stored state of a trainer from the table service and the object store. */
final class RolloutRestorer {
    private static final int PARALLEL_READS = 8;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    private final Platform mPlatform;
    private final TimeSource mTime;

    RolloutRestorer(Platform platform, TimeSource time) {
        mPlatform = platform;
        mTime = time;
    }

    /**
     * Reads the state, and retries until it is complete or no longer needed.
     *
     * @param minVersion minimum version of the head row; an older row is a stale read
     */
    Mono<Restored> restore(TrainerName trainer, long minVersion, BooleanSupplier needed) {
        return Mono.defer(() -> readOnce(trainer, minVersion))
                .timeout(READ_TIMEOUT)
                .retryWhen(
                        Retry.backoff(Long.MAX_VALUE, INITIAL_RETRY_DELAY)
                                .maxBackoff(MAX_RETRY_DELAY)
                                .filter(failure -> needed.getAsBoolean()));
    }

    private Mono<Restored> readOnce(TrainerName trainer, long minVersion) {
        return mPlatform
                .tables()
                .read(RolloutRows.DELIVERIES, RolloutRows.cursorKey(trainer))
                .flatMap(row -> readRest(trainer, row, minVersion));
    }

    private Mono<Restored> readRest(TrainerName trainer, Option<Row> row, long minVersion) {
        if (row.map(Row::version).getOrElse(0L) < minVersion) {
            return notYetVisible("the head row of " + trainer);
        }
        if (row.isEmpty()) {
            return Mono.just(
                    new Restored(new RestoredLog(0, LogHead.EMPTY, List.of(), List.of()), ""));
        }
        RolloutRows.HeadRow head = RolloutRows.read(row.get().value(), RolloutRows.HeadRow.class);
        Mono<List<RestoredLog.RestoredSubmission>> submissions =
                Flux.fromIterable(head.head().openSteps())
                        .flatMapSequential(step -> submission(trainer, step), PARALLEL_READS)
                        .collectList();
        Mono<List<BatchRecord>> batches =
                Flux.fromStream(
                                LongStream.range(head.head().firstBatch(), head.head().nextBatch())
                                        .boxed())
                        .flatMapSequential(number -> batch(trainer, number), PARALLEL_READS)
                        .collectList();
        return Mono.zip(submissions, batches)
                .map(
                        both ->
                                new Restored(
                                        new RestoredLog(
                                                row.get().version(),
                                                head.head(),
                                                both.getT1(),
                                                both.getT2()),
                                        head.team()));
    }

    private Mono<RestoredLog.RestoredSubmission> submission(TrainerName trainer, long step) {
        return mPlatform
                .tables()
                .read(RolloutRows.GROUPS, RolloutRows.stepKey(trainer, step))
                .flatMap(
                        row ->
                                row.isEmpty()
                                        ? notYetVisible("step " + step)
                                        : object(row.get().value()));
    }

    private Mono<RestoredLog.RestoredSubmission> object(String value) {
        RolloutRows.StepRow row = RolloutRows.read(value, RolloutRows.StepRow.class);
        long age = Math.max(0, mTime.wallMillis() - row.acceptedMillis());
        return mPlatform
                .objects()
                .read(row.object())
                .flatMap(
                        content ->
                                content.isEmpty()
                                        ? notYetVisible("object " + row.object())
                                        : Mono.just(
                                                new RestoredLog.RestoredSubmission(
                                                        RolloutRows.readSubmission(content.get())
                                                                .withObject(row.object()),
                                                        TimeUnit.MILLISECONDS.toNanos(age))));
    }

    private Mono<BatchRecord> batch(TrainerName trainer, long number) {
        return mPlatform
                .tables()
                .read(RolloutRows.DELIVERIES, RolloutRows.batchKey(trainer, number))
                .flatMap(
                        row ->
                                row.isEmpty()
                                        ? notYetVisible("batch " + number)
                                        : Mono.just(
                                                RolloutRows.read(
                                                        row.get().value(), BatchRecord.class)));
    }

    private static <T> Mono<T> notYetVisible(String what) {
        return Mono.error(new IllegalStateException(what + " is not visible yet"));
    }

    /**
     * A restored state.
     *
     * @param log the delivery log and the open submissions
     * @param team the team that the trainer belongs to, or an empty string
     */
    record Restored(RestoredLog log, String team) {}
}

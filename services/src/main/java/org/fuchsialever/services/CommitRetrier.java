package org.fuchsialever.services;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fuchsialever.services.PlatformException.Effect;
import reactor.core.publisher.Mono;

/**
 * Determines whether a commit took effect when its response is lost. It sends the same commit
 * again; if the retry conflicts, the rows of the conflict show whether an earlier attempt took
 * effect. These rows are the state that the commit was checked against, while a plain read may be
 * stale.
 *
 * <p>A commit takes effect at most once, because one of its conditions requires the old version of
 * a row that it changes. A condition on version 0 has this property only for rows that are never
 * deleted.
 */
public final class CommitRetrier {
    private final TableService mTables;
    private final RetryBackoff mBackoff;
    private final Timers mTimers;
    private final RandomGenerator mRandom;
    private final Counter mRetries;
    private final Counter mRecovered;
    private final Counter mUnresolved;

    /**
     * Creates a retrier.
     *
     * @param backoff delays and maximum number of attempts
     * @param random source of the jitter
     */
    public CommitRetrier(
            TableService tables,
            RetryBackoff backoff,
            Timers timers,
            RandomGenerator random,
            MeterRegistry meters) {
        mTables = tables;
        mBackoff = backoff;
        mTimers = timers;
        mRandom = random;
        mRetries = meters.counter("fuchsialever.commit.retries");
        mRecovered = meters.counter("fuchsialever.commit.recovered");
        mUnresolved = meters.counter("fuchsialever.commit.unresolved");
    }

    /**
     * Commits rows that no other writer overwrites while this call runs, or for which an overwrite
     * counts as a conflict, such as a lease row.
     *
     * @param commit must have a condition on a row that it puts
     * @return the result; fails with effect {@code UNKNOWN} if the result could not be determined,
     *     and with effect {@code NONE} if no attempt can have had an effect
     * @throws IllegalArgumentException if no row is both a condition and a put
     */
    public Mono<CommitResult> commit(Commit commit) {
        if (commit.puts().stream().noneMatch(put -> hasCondition(commit, put))) {
            throw new IllegalArgumentException("a commit needs a condition on a row that it puts");
        }
        return attempt(new Progress(commit, Option.none(), 1, false));
    }

    /**
     * Commits rows that other writers may overwrite immediately. The marker row shows whether the
     * commit took effect even then.
     *
     * @param commit must put the marker under the condition that it does not exist
     * @param marker a row that is never overwritten or deleted
     * @return the result, with the same failures as {@link #commit}
     * @throws IllegalArgumentException if the marker is not put under that condition
     */
    public Mono<CommitResult> commitWithMarker(Commit commit, Commit.Put marker) {
        if (!commit.puts().contains(marker)
                || !commit.conditions()
                        .contains(new Commit.Condition(marker.table(), marker.key(), 0))) {
            throw new IllegalArgumentException("the marker must be put only if it is absent");
        }
        return attempt(new Progress(commit, Option.some(marker), 1, false));
    }

    private Mono<CommitResult> attempt(Progress progress) {
        return mTables.commit(progress.commit)
                .map(result -> resolve(progress, result))
                .onErrorResume(PlatformException.class, failure -> retryOrFail(progress, failure));
    }

    private Mono<CommitResult> retryOrFail(Progress progress, PlatformException failure) {
        boolean unknown = progress.mayHaveTakenEffect || failure.effect() == Effect.UNKNOWN;
        if (progress.attempts >= mBackoff.maxAttempts()) {
            if (unknown) {
                mUnresolved.increment();
            }
            return Mono.error(
                    new PlatformException(
                            unknown ? Effect.UNKNOWN : Effect.NONE,
                            "commit failed in " + progress.attempts + " attempts",
                            failure));
        }
        mRetries.increment();
        Progress next =
                new Progress(progress.commit, progress.marker, progress.attempts + 1, unknown);
        return mTimers.after(delayAfter(progress.attempts)).then(Mono.defer(() -> attempt(next)));
    }

    private Duration delayAfter(int failures) {
        // Commits end on different threads, and the random source is not thread-safe.
        synchronized (mRandom) {
            return mBackoff.delay(failures, mRandom);
        }
    }

    private CommitResult resolve(Progress progress, CommitResult result) {
        if (!progress.mayHaveTakenEffect || !(result instanceof CommitResult.Conflict conflict)) {
            return result;
        }
        Option<Row> own = ownRow(progress, conflict.rows());
        if (own.isEmpty()) {
            return result;
        }
        mRecovered.increment();
        return new CommitResult.Committed(own.get().version());
    }

    private static Option<Row> ownRow(Progress progress, List<Row> rows) {
        Commit commit = progress.commit;
        List<Commit.Put> decisive =
                progress.marker.isDefined() ? List.of(progress.marker.get()) : commit.puts();
        for (Row row : rows) {
            boolean isDecisive =
                    decisive.stream()
                            .anyMatch(
                                    put ->
                                            put.table().equals(row.table())
                                                    && put.key().equals(row.key()));
            if (isDecisive && row.writer().equals(commit.writer())) {
                return Option.some(row);
            }
        }
        return Option.none();
    }

    private static boolean hasCondition(Commit commit, Commit.Put put) {
        return commit.conditions().stream()
                .anyMatch(
                        condition ->
                                condition.table().equals(put.table())
                                        && condition.key().equals(put.key()));
    }

    private record Progress(
            Commit commit, Option<Commit.Put> marker, int attempts, boolean mayHaveTakenEffect) {}
}

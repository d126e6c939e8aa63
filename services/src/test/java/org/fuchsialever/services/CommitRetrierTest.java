package org.fuchsialever.services;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.fake.FakeTableService;
import org.fuchsialever.services.fake.Fault;
import org.fuchsialever.services.fake.VirtualTimers;
import org.junit.jupiter.api.Test;

/** Guards against a change that is applied twice and against a result that is reported wrongly. */
class CommitRetrierTest {
    private static final RetryBackoff BACKOFF =
            new RetryBackoff(Duration.ofMillis(100), Duration.ofSeconds(1), 4);
    private static final Commit.Put MARKER = new Commit.Put("batches", "7", "a");

    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final VirtualTimers mTimers = new VirtualTimers(mTime);
    private final FakeTableService mTables = new FakeTableService(mTimers);
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final CommitRetrier mRetrier =
            new CommitRetrier(mTables, BACKOFF, mTimers, new SplittableRandom(5), mMeters);
    private final List<Object> mOutcomes = new ArrayList<>();

    @Test
    void findsItsOwnWriteAfterALostResponseAndWritesItOnce() {
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);

        run(put("a", 0));

        assertThat(mOutcomes, is(List.of(new CommitResult.Committed(1))));
        assertThat(mTables.revision(), is(1L));
        assertThat(mMeters.counter("fuchsialever.commit.recovered").count(), is(1.0));
    }

    @Test
    void writesAfterALostRequest() {
        mTables.faults().addToNextChange(Fault.LOSE_REQUEST);

        run(put("a", 0));

        assertThat(mOutcomes, is(List.of(new CommitResult.Committed(1))));
    }

    @Test
    void findsItsOwnWriteAfterTwoLostResponses() {
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);

        run(put("a", 0));

        assertThat(mOutcomes, is(List.of(new CommitResult.Committed(1))));
        assertThat(mTables.revision(), is(1L));
    }

    @Test
    void reportsAConflictWhenAnotherWriterWasFirst() {
        mTables.commit(put("other", 0)).block();
        mTables.faults().addToNextChange(Fault.LOSE_REQUEST);

        run(put("a", 0));

        assertThat(mOutcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void doesNotTakeAnEarlierCommitOfTheSameWriterForARetry() {
        // Without a lost response, a conflict is a conflict even if the row has the same writer.
        mTables.commit(put("a", 0)).block();

        run(put("a", 0));

        assertThat(mOutcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void findsItsMarkerWhenAnotherWriterHasOverwrittenTheRow() {
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);
        mRetrier.commitWithMarker(marked(), MARKER).subscribe(mOutcomes::add, mOutcomes::add);
        mTables.commit(put("other", 1)).block();

        mTimers.advance(Duration.ofSeconds(10));

        assertThat(mOutcomes, is(List.of(new CommitResult.Committed(1))));
    }

    @Test
    void reportsAConflictWhenItsMarkerIsAbsent() {
        mTables.faults().addToNextChange(Fault.LOSE_REQUEST);
        mRetrier.commitWithMarker(marked(), MARKER).subscribe(mOutcomes::add, mOutcomes::add);
        mTables.commit(put("other", 0)).block();

        mTimers.advance(Duration.ofSeconds(10));

        assertThat(mOutcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void failsWithUnknownEffectWhenALostResponseCannotBeResolved() {
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);
        mRetrier.commit(put("a", 0)).subscribe(mOutcomes::add, mOutcomes::add);
        mTables.faults().setDown(true);

        mTimers.advance(Duration.ofSeconds(10));

        assertThat(((PlatformException) mOutcomes.get(0)).effect(), is(Effect.UNKNOWN));
        assertThat(mTables.faults().writeCount(), is(4L));
    }

    @Test
    void failsWithoutEffectWhenNoAttemptReachedTheService() {
        mTables.faults().setDown(true);

        run(put("a", 0));

        assertThat(((PlatformException) mOutcomes.get(0)).effect(), is(Effect.NONE));
        assertThat(mTables.revision(), is(0L));
    }

    @Test
    void refusesACommitWhoseRetryCouldBeAppliedTwice() {
        Commit unconditional =
                new Commit("a", List.of(), List.of(new Commit.Put("t", "k", "a")), List.of());

        assertThrows(IllegalArgumentException.class, () -> mRetrier.commit(unconditional));
    }

    @Test
    void spreadsDelaysBetweenHalfOfTheUpperBoundAndTheUpperBound() {
        SplittableRandom random = new SplittableRandom(9);
        long[] boundsMillis = {100, 200, 400, 800, 1_000, 1_000};
        for (int failures = 1; failures <= boundsMillis.length; failures++) {
            long millis = BACKOFF.delay(failures, random).toMillis();
            assertThat(millis, greaterThanOrEqualTo(boundsMillis[failures - 1] / 2));
            assertThat(millis, lessThanOrEqualTo(boundsMillis[failures - 1]));
        }
    }

    private void run(Commit commit) {
        mRetrier.commit(commit).subscribe(mOutcomes::add, mOutcomes::add);
        mTimers.advance(Duration.ofSeconds(10));
    }

    private static Commit put(String writer, long version) {
        return new Commit(
                writer,
                List.of(new Commit.Condition("t", "k", version)),
                List.of(new Commit.Put("t", "k", writer)),
                List.of());
    }

    private static Commit marked() {
        return new Commit(
                "a",
                List.of(new Commit.Condition("t", "k", 0), new Commit.Condition("batches", "7", 0)),
                List.of(new Commit.Put("t", "k", "a"), MARKER),
                List.of());
    }
}

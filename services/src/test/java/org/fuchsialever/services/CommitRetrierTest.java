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

    private final ManualTimeSource time = new ManualTimeSource(0);
    private final VirtualTimers timers = new VirtualTimers(time);
    private final FakeTableService tables = new FakeTableService(timers);
    private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    private final CommitRetrier retrier =
            new CommitRetrier(tables, BACKOFF, timers, new SplittableRandom(5), meters);
    private final List<Object> outcomes = new ArrayList<>();

    @Test
    void findsItsOwnWriteAfterALostResponseAndWritesItOnce() {
        tables.faults().addToNextChange(Fault.LOSE_ANSWER);

        run(put("a", 0));

        assertThat(outcomes, is(List.of(new CommitResult.Committed(1))));
        assertThat(tables.revision(), is(1L));
        assertThat(meters.counter("fuchsialever.commit.recovered").count(), is(1.0));
    }

    @Test
    void writesAfterALostRequest() {
        tables.faults().addToNextChange(Fault.LOSE_REQUEST);

        run(put("a", 0));

        assertThat(outcomes, is(List.of(new CommitResult.Committed(1))));
    }

    @Test
    void findsItsOwnWriteAfterTwoLostResponses() {
        tables.faults().addToNextChange(Fault.LOSE_ANSWER);
        tables.faults().addToNextChange(Fault.LOSE_ANSWER);

        run(put("a", 0));

        assertThat(outcomes, is(List.of(new CommitResult.Committed(1))));
        assertThat(tables.revision(), is(1L));
    }

    @Test
    void reportsAConflictWhenAnotherWriterWasFirst() {
        tables.commit(put("other", 0)).block();
        tables.faults().addToNextChange(Fault.LOSE_REQUEST);

        run(put("a", 0));

        assertThat(outcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void doesNotTakeAnEarlierCommitOfTheSameWriterForARetry() {
        // Without a lost response, a conflict is a conflict even if the row has the same writer.
        tables.commit(put("a", 0)).block();

        run(put("a", 0));

        assertThat(outcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void findsItsMarkerWhenAnotherWriterHasOverwrittenTheRow() {
        tables.faults().addToNextChange(Fault.LOSE_ANSWER);
        retrier.commitWithMarker(marked(), MARKER).subscribe(outcomes::add, outcomes::add);
        tables.commit(put("other", 1)).block();

        timers.advance(Duration.ofSeconds(10));

        assertThat(outcomes, is(List.of(new CommitResult.Committed(1))));
    }

    @Test
    void reportsAConflictWhenItsMarkerIsAbsent() {
        tables.faults().addToNextChange(Fault.LOSE_REQUEST);
        retrier.commitWithMarker(marked(), MARKER).subscribe(outcomes::add, outcomes::add);
        tables.commit(put("other", 0)).block();

        timers.advance(Duration.ofSeconds(10));

        assertThat(outcomes.get(0), instanceOf(CommitResult.Conflict.class));
    }

    @Test
    void failsWithUnknownEffectWhenALostResponseCannotBeResolved() {
        tables.faults().addToNextChange(Fault.LOSE_ANSWER);
        retrier.commit(put("a", 0)).subscribe(outcomes::add, outcomes::add);
        tables.faults().setDown(true);

        timers.advance(Duration.ofSeconds(10));

        assertThat(((PlatformException) outcomes.get(0)).effect(), is(Effect.UNKNOWN));
        assertThat(tables.faults().writeCount(), is(4L));
    }

    @Test
    void failsWithoutEffectWhenNoAttemptReachedTheService() {
        tables.faults().setDown(true);

        run(put("a", 0));

        assertThat(((PlatformException) outcomes.get(0)).effect(), is(Effect.NONE));
        assertThat(tables.revision(), is(0L));
    }

    @Test
    void refusesACommitWhoseRetryCouldBeAppliedTwice() {
        Commit unconditional =
                new Commit("a", List.of(), List.of(new Commit.Put("t", "k", "a")), List.of());

        assertThrows(IllegalArgumentException.class, () -> retrier.commit(unconditional));
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
        retrier.commit(commit).subscribe(outcomes::add, outcomes::add);
        timers.advance(Duration.ofSeconds(10));
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

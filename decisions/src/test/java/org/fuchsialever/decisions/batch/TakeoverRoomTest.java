package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.junit.jupiter.api.Test;

/** How much an instance takes over when others are lost. */
class TakeoverRoomTest {
    private static final long MAX_BYTES = 900;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final BatchDuty mDuty = new BatchDuty("i1", "s1", new SplittableRandom(1), MAX_BYTES);
    private final List<BatchAction> mActions = new ArrayList<>();
    private long mNow;

    /** Guards against a process that runs out of memory after the loss of other instances. */
    @Test
    void isBoundedByTheMemoryThatTheContentsTake() {
        loseOwnersOf(10, 300);
        for (int opened = 0; opened < 10; opened++) {
            openClaimed();
            advance(SECOND);
        }
        assertThat(claims(), is(List.of("b0", "b1", "b2")));
    }

    @Test
    void isAsMuchAsThereIsOfSmallSubmissions() {
        loseOwnersOf(10, 10);
        assertThat(claims().size(), is(10));
    }

    /** Guards against contents that are read at once although each of them would fit. */
    @Test
    void isBoundedWhileContentsAreRead() {
        loseOwnersOf(10, 200);
        assertThat(claims(), is(List.of("b0")));
        openClaimed();
        advance(SECOND);
        assertThat(claims(), is(List.of("b0", "b1")));
    }

    @Test
    void goesOnWithTheOldestWhenThereIsRoomAgain() {
        loseOwnersOf(5, 300);
        for (int opened = 0; opened < 3; opened++) {
            openClaimed();
            advance(SECOND);
        }
        VersionedState ended = new VersionedState(state(1, 300).asEnded(), 50);
        event(new BatchEvent.StatesChanged(List.of(ended), List.of()));
        advance(SECOND);
        assertThat(claims(), is(List.of("b0", "b1", "b2", "b3")));
    }

    @Test
    void goesOnAfterAClaimThatFailed() {
        loseOwnersOf(2, 300);
        event(new BatchEvent.ClaimFailed("b0", "claimed by another instance"));
        VersionedState taken = new VersionedState(state(0, 300).withOwner("i3", "s3"), 50);
        event(new BatchEvent.StatesChanged(List.of(taken), List.of()));
        advance(SECOND);
        assertThat(claims(), is(List.of("b0", "b1")));
    }

    /** Guards against room that stays reserved for a submission that no longer exists. */
    @Test
    void goesOnAfterASubmissionWasRemovedWhileItWaited() {
        loseOwnersOf(2, 300);
        event(new BatchEvent.StatesChanged(List.of(), List.of("b0")));
        advance(SECOND);
        assertThat(claims(), is(List.of("b0", "b1")));
    }

    @Test
    void includesOneSubmissionThatIsLargerThanTheRoom() {
        loseOwnersOf(1, 5_000);
        assertThat(claims(), is(List.of("b0")));
    }

    /** A submission that was accepted here is left to instances that have room. */
    @Test
    void leavesAnAcceptedSubmissionInTheStoreWhenThereIsNoRoom() {
        open(state(1, 800).withOwner("i1", "s1"));
        open(state(2, 300).withOwner("i1", "s1"));
        assertThat(
                mActions.stream()
                        .filter(BatchAction.Generate.class::isInstance)
                        .map(action -> ((BatchAction.Generate) action).state().id())
                        .toList(),
                is(List.of("b1")));
        assertThat(claims(), is(empty()));
    }

    private void loseOwnersOf(int submissions, long bytes) {
        event(new BatchEvent.StoreReachability(true));
        event(
                new BatchEvent.StatesChanged(
                        IntStream.range(0, submissions)
                                .mapToObj(n -> new VersionedState(state(n, bytes), 20))
                                .toList(),
                        List.of()));
        advance(4 * SECOND);
    }

    /** Opens the submission that was claimed last. */
    private void openClaimed() {
        List<BatchAction.Claim> claims = allClaims();
        open(claims.get(claims.size() - 1).state());
    }

    private void open(BatchState state) {
        BatchItem item =
                new BatchItem("x", "g", "/p/x", Map.of(), new byte[0], 10, 5, Option.none());
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                30,
                                new BatchSpec(state.id(), "m", 1, 5, 1, List.of(item)),
                                Set.of(),
                                0,
                                Long.MAX_VALUE,
                                false,
                                Map.of())));
    }

    private List<String> claims() {
        return allClaims().stream().map(claim -> claim.state().id()).toList();
    }

    private List<BatchAction.Claim> allClaims() {
        return mActions.stream()
                .filter(BatchAction.Claim.class::isInstance)
                .map(BatchAction.Claim.class::cast)
                .toList();
    }

    private void event(BatchEvent event) {
        mDuty.onEvent(event, mNow, mActions::add);
    }

    private void advance(long nanos) {
        long end = mNow + nanos;
        while (mDuty.nextTimerNanos() <= end) {
            mNow = Math.max(mNow, mDuty.nextTimerNanos());
            mDuty.onTimer(mNow, mActions::add);
        }
        mNow = end;
    }

    /** Returns the state of a submission of another instance; older ones have smaller numbers. */
    private static BatchState state(int number, long bytes) {
        return new BatchState(
                "b" + number,
                "team",
                "h",
                "/p/b",
                1,
                0,
                number,
                "i2",
                "s2",
                1,
                false,
                new BatchContent("m", 1, 0, 0, bytes));
    }
}

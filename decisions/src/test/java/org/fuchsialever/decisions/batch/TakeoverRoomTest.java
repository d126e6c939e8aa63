package org.fuchsialever.decisions.batch;

import static org.fuchsialever.decisions.batch.BatchDutyRun.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.junit.jupiter.api.Test;

/** How much an instance takes over when others are lost. */
class TakeoverRoomTest {
    private static final long MAX_BYTES = 900;

    private final BatchDutyRun mRun = new BatchDutyRun(MAX_BYTES);

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
                mRun.all(BatchAction.Generate.class).stream()
                        .map(start -> start.state().id())
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
        mRun.open(state, 40 * SECOND);
    }

    private List<String> claims() {
        return allClaims().stream().map(claim -> claim.state().id()).toList();
    }

    private List<BatchAction.Claim> allClaims() {
        return mRun.all(BatchAction.Claim.class);
    }

    private void event(BatchEvent event) {
        mRun.event(event);
    }

    private void advance(long nanos) {
        mRun.advance(nanos);
    }

    /** Returns the state of a submission of another instance; older ones have smaller numbers. */
    private static BatchState state(int number, long bytes) {
        return BatchDutyRun.state("b" + number, "i2", number, bytes);
    }
}

package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.junit.jupiter.api.Test;

class BatchDutyTest {
    private static final BatchContent CONTENT = new BatchContent("m", 1, 0, 0);
    private static final String ID = "b1";
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final BatchDutyRun mRun = new BatchDutyRun();

    @Test
    void generatesScoresAndListsEachItem() {
        open(Set.of());
        assertThat(all(BatchAction.Generate.class), hasSize(2));
        event(new BatchEvent.Generated(ID, 0, "text", List.of(5L)));
        event(new BatchEvent.Scored(ID, 0, "signature"));
        BatchAction.Commit commit = last(BatchAction.Commit.class);
        assertThat(commit.firstPosition(), is(0));
        assertThat(
                commit.results(),
                is(List.of(new ItemResult("x0", true, "text", List.of(5L), "signature"))));
    }

    /** Guards against a text with the score of another one: two runs of an item may both end. */
    @Test
    void listsNoTextWithTheScoreOfTheTextOfAnotherRun() {
        open(Set.of());
        event(new BatchEvent.Generated(ID, 0, "text", List.of(5L)));
        event(new BatchEvent.Generated(ID, 0, "text of another run", List.of(5L)));
        event(new BatchEvent.Scored(ID, 0, "signature"));
        assertThat(
                last(BatchAction.Commit.class).results(),
                is(List.of(new ItemResult("x0", true, "text", List.of(5L), "signature"))));
    }

    @Test
    void generatesAgainWhenAVersionIsTooOldOrUnknown() {
        open(Set.of());
        event(new BatchEvent.Generated(ID, 0, "text", List.of(4L, 5L)));
        event(new BatchEvent.Generated(ID, 0, "text", List.of()));
        assertThat(all(BatchAction.Generate.class), hasSize(4));
        assertThat(all(BatchAction.Score.class), is(empty()));
    }

    @Test
    void startsTheItemsThatAreExpectedToBeLongestFirst() {
        open(Set.of());
        List<BatchAction.Generate> starts = all(BatchAction.Generate.class);
        assertThat(starts.stream().map(BatchAction.Generate::item).toList(), is(List.of(1, 0)));
        assertThat(starts.get(0).queueRank() < starts.get(1).queueRank(), is(true));
        assertThat(starts.get(0).expectedLong(), is(false));
    }

    @Test
    void storesTheEventsOfARunningItemWithTheNextCommitAndRemovesThemOnceItIsListed() {
        open(Set.of());
        progress(0, 1, List.of("a", "b"), List.of(5L));
        advance(SECOND);
        TextSegment saved = last(BatchAction.Commit.class).texts().saved().get(0);
        assertThat(saved.key(), is(new TextKey("x0", 1)));
        assertThat(saved.events(), is(List.of("a", "b")));
        event(new BatchEvent.Committed(ID, 11));
        list(0);
        assertThat(
                last(BatchAction.Commit.class).texts().removed(),
                is(List.of(new TextKey("x0", 1))));
    }

    @Test
    void continuesAStoredTextOnlyIfItsVersionsAreStillAllowed() {
        open(Set.of(), Map.of("x0", stored("x0", 5), "x1", stored("x1", 4)));
        for (BatchAction.Generate start : all(BatchAction.Generate.class)) {
            assertThat(start.beginning().lastEvent(), is(start.item() == 0 ? 2L : -1L));
        }
        advance(SECOND);
        assertThat(
                last(BatchAction.Commit.class).texts().removed(),
                is(List.of(new TextKey("x1", 1))));
    }

    @Test
    void linksFurtherEventsToTheStoredTextThatTheyContinue() {
        open(Set.of(), Map.of("x0", stored("x0", 5)));
        progress(0, 3, List.of("c"), List.of(5L));
        progress(0, 9, List.of("gap"), List.of(5L));
        advance(SECOND);
        List<TextSegment> saved = last(BatchAction.Commit.class).texts().saved();
        assertThat(saved, hasSize(1));
        assertThat(saved.get(0).continues(), is("former"));
    }

    @Test
    void keepsTheTextsOfUnfinishedItemsWhenTheTrainerEndsTheSubmission() {
        open(Set.of());
        progress(0, 1, List.of("a"), List.of(5L));
        states(state("i1", "s1").asEnded(), 20);
        BatchAction.KeepTexts kept = last(BatchAction.KeepTexts.class);
        assertThat(kept.reported(), hasSize(1));
        assertThat(kept.open(), hasSize(2));
    }

    /** Guards against stored texts that begin in the middle: a run knows more than its owner. */
    @Test
    void namesTheEventFromWhichOnARunMustKeepItsText() {
        open(Set.of(), Map.of("x1", stored("x1", 5)));
        states(state("i1", "s1").asEnded(), 20);
        List<OpenText> open = last(BatchAction.KeepTexts.class).open();
        assertThat(
                open,
                containsInAnyOrder(
                        new OpenText(0, "x0", run(0), "", OpenText.FROM_FIRST),
                        new OpenText(1, "x1", run(1), "former", 3)));
    }

    /** Guards against stored texts that begin in the middle: reports of a run that was stopped. */
    @Test
    void ignoresLateReportsOfARunThatIsNoLongerTheCurrentOne() {
        open(Set.of());
        String stopped = run(0);
        list(1);
        BatchState newer = state("i1", "s1").withResultCount(2);
        event(new BatchEvent.Conflicted(ID, Option.some(new VersionedState(newer, 15))));
        open(Set.of());
        event(new BatchEvent.Progressed(ID, 0, stopped, 50, List.of("late"), List.of(5L)));
        advance(SECOND);
        assertThat(last(BatchAction.Commit.class).texts().saved(), is(empty()));
    }

    @Test
    void keepsNoTextsOfASubmissionThatAnotherInstanceOwned() {
        open(Set.of());
        states(state("i1", "s1").withOwner("i2", "s2").asEnded(), 20);
        assertThat(all(BatchAction.KeepTexts.class), is(empty()));
    }

    @Test
    void repeatsAnUnansweredCommitUnchangedBeforeItListsMore() {
        open(Set.of());
        list(0);
        BatchAction.Commit first = last(BatchAction.Commit.class);
        event(new BatchEvent.CommitFailed(ID, "timeout"));
        list(1);
        advance(SECOND);
        assertThat(last(BatchAction.Commit.class), is(first));
        event(new BatchEvent.Committed(ID, 11));
        assertThat(last(BatchAction.Commit.class).firstPosition(), is(1));
    }

    @Test
    void keepsThePositionsWhenACommitConflictsWithItsOwnLateEffect() {
        open(Set.of());
        list(0);
        BatchAction.Commit first = last(BatchAction.Commit.class);
        event(new BatchEvent.Conflicted(ID, Option.some(new VersionedState(first.state(), 12))));
        assertThat(last(BatchAction.Commit.class), is(first));
        list(1);
        assertThat(last(BatchAction.Commit.class).version(), is(12L));
        assertThat(last(BatchAction.Commit.class).firstPosition(), is(1));
    }

    @Test
    void neverMovesTheHeadBackWhenItWasOpenedFromAStaleRead() {
        open(Set.of());
        list(0);
        BatchState newer = state("i1", "s1").withResultCount(2);
        event(new BatchEvent.Conflicted(ID, Option.some(new VersionedState(newer, 15))));
        assertThat(last(BatchAction.Closed.class).reason(), is("outdated"));
        assertThat(all(BatchAction.Commit.class), hasSize(1));
    }

    @Test
    void repeatsACommitUnderTheVersionThatAnotherWriterLeft() {
        open(Set.of());
        list(0);
        BatchAction.Commit first = last(BatchAction.Commit.class);
        event(
                new BatchEvent.Conflicted(
                        ID, Option.some(new VersionedState(state("i1", "s1"), 12))));
        BatchAction.Commit repeated = last(BatchAction.Commit.class);
        assertThat(repeated.version(), is(12L));
        assertThat(repeated.results(), is(first.results()));
    }

    @Test
    void listsNothingTwiceWhenItsUnansweredCommitTookEffect() {
        open(Set.of());
        list(0);
        BatchAction.Commit first = last(BatchAction.Commit.class);
        event(new BatchEvent.CommitFailed(ID, "timeout"));
        event(new BatchEvent.Conflicted(ID, Option.some(new VersionedState(first.state(), 12))));
        list(1);
        BatchAction.Commit second = last(BatchAction.Commit.class);
        assertThat(second.version(), is(12L));
        assertThat(second.firstPosition(), is(1));
    }

    @Test
    void stopsWhenAnotherInstanceHasTakenTheSubmissionOver() {
        open(Set.of());
        list(0);
        BatchState taken = last(BatchAction.Commit.class).state().withOwner("i2", "s2");
        event(new BatchEvent.Conflicted(ID, Option.some(new VersionedState(taken, 12))));
        assertThat(last(BatchAction.Closed.class).reason(), is("taken-over"));
        assertThat(all(BatchAction.Stop.class), hasItem(new BatchAction.Stop(ID, 1)));
    }

    @Test
    void stopsItemsOfASubmissionThatItsTrainerHasEnded() {
        open(Set.of());
        states(state("i1", "s1").asEnded(), 13);
        assertThat(
                all(BatchAction.Stop.class),
                containsInAnyOrder(new BatchAction.Stop(ID, 0), new BatchAction.Stop(ID, 1)));
    }

    @Test
    void writesAHeartbeatWhileNothingIsFinished() {
        open(Set.of());
        advance(2 * SECOND);
        assertThat(last(BatchAction.Commit.class).results(), is(empty()));
    }

    @Test
    void takesOverASubmissionWhoseOwnerIsSilent() {
        event(new BatchEvent.StoreReachability(true));
        event(new BatchEvent.PeersChanged(List.of(new Peer("i2", "s2"))));
        states(state("i2", "s2"), 20);
        advance(2 * SECOND);
        assertThat(all(BatchAction.Claim.class), is(empty()));
        advance(2 * SECOND);
        BatchAction.Claim claim = last(BatchAction.Claim.class);
        assertThat(claim.version(), is(20L));
        assertThat(claim.state().owner(), is("i1"));
        assertThat(claim.state().epoch(), is(2L));
    }

    @Test
    void takesOverSoonerWhenTheOwnersProcessIsGone() {
        event(new BatchEvent.StoreReachability(true));
        event(new BatchEvent.PeersChanged(List.of(new Peer("i2", "restarted"))));
        states(state("i2", "s2"), 20);
        advance(2 * SECOND);
        assertThat(last(BatchAction.Claim.class).reason(), is("OWNER_DEAD"));
    }

    @Test
    void beginsASubmissionThatAnotherInstanceAssignedToThisOne() {
        event(new BatchEvent.StoreReachability(true));
        states(state("i1", "s1"), 20);
        BatchAction.Claim claim = last(BatchAction.Claim.class);
        assertThat(claim.version(), is(20L));
        assertThat(claim.state(), is(state("i1", "s1")));
    }

    @Test
    void leavesACompletedSubmissionAloneWhenItsMirroredHeadIsOlder() {
        event(new BatchEvent.StoreReachability(true));
        open(Set.of());
        list(0);
        event(new BatchEvent.Committed(ID, 29));
        list(1);
        BatchState older = last(BatchAction.Commit.class).state().withResultCount(1);
        event(new BatchEvent.Committed(ID, 30));
        states(older, 25);
        advance(5 * SECOND);
        assertThat(all(BatchAction.Claim.class), is(empty()));
    }

    @Test
    void takesBackASubmissionThatItsAssignedInstanceDoesNotBegin() {
        event(new BatchEvent.StoreReachability(true));
        event(new BatchEvent.PeersChanged(List.of(new Peer("i2", "s2"))));
        event(new BatchEvent.Placed(ID));
        states(state("i2", "s2"), 20);
        advance(2 * SECOND);
        assertThat(last(BatchAction.Claim.class).reason(), is("NEVER_STARTED"));
    }

    @Test
    void doesNotTakeOverWhileTheStoreIsUnreachable() {
        event(new BatchEvent.StoreReachability(true));
        states(state("i2", "s2"), 20);
        event(new BatchEvent.StoreReachability(false));
        advance(10 * SECOND);
        assertThat(all(BatchAction.Claim.class), is(empty()));
        event(new BatchEvent.StoreReachability(true));
        advance(SECOND);
        assertThat(all(BatchAction.Claim.class), is(empty()));
    }

    @Test
    void takesOverAtOnceWhatItsOwnFormerProcessRan() {
        event(new BatchEvent.StoreReachability(true));
        states(state("i1", "previous"), 20);
        assertThat(last(BatchAction.Claim.class).reason(), is("OWNER_RESTARTED"));
    }

    @Test
    void runsOnlyItemsWithoutResultAfterATakeover() {
        open(Set.of("x0"));
        List<BatchAction.Generate> generated = all(BatchAction.Generate.class);
        assertThat(generated, hasSize(1));
        assertThat(generated.get(0).item(), is(1));
    }

    @Test
    void givesUpItemsWhenTheirTimeIsOver() {
        open(Set.of());
        advance(39 * SECOND);
        event(new BatchEvent.Committed(ID, 11));
        advance(2 * SECOND);
        event(new BatchEvent.Committed(ID, 12));
        assertThat(
                last(BatchAction.Commit.class).results(),
                containsInAnyOrder(ItemResult.abandoned("x0"), ItemResult.abandoned("x1")));
    }

    @Test
    void handsItsSubmissionsOverBeforeItShutsDown() {
        open(Set.of());
        list(0);
        event(new BatchEvent.Committed(ID, 11));
        event(new BatchEvent.Draining());
        advance(3 * SECOND);
        // A heartbeat was in flight when the drain period ended.
        event(new BatchEvent.Committed(ID, 12));
        BatchAction.Commit release = last(BatchAction.Commit.class);
        assertThat(release.state().owner(), is(""));
        assertThat(release.state().resultCount(), is(1));
        event(new BatchEvent.Committed(ID, 13));
        assertThat(all(BatchAction.Drained.class), hasSize(1));
    }

    @Test
    void claimsASubmissionThatWasHandedOver() {
        event(new BatchEvent.StoreReachability(true));
        states(state("", ""), 20);
        advance(SECOND);
        assertThat(last(BatchAction.Claim.class).reason(), is("RELEASED"));
    }

    private void open(Set<String> listed) {
        open(listed, Map.of());
    }

    private void open(Set<String> listed, Map<String, PartialText> stored) {
        BatchState state = state("i1", "s1");
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                10,
                                spec(),
                                listed,
                                7_500,
                                mRun.now() + 40 * SECOND,
                                false,
                                stored)));
    }

    private static PartialText stored(String item, long version) {
        return new PartialText(
                List.of(
                        new TextSegment(
                                item, 1, "former", "", List.of("a", "b"), List.of(version))));
    }

    private void progress(int item, long first, List<String> events, List<Long> versions) {
        event(new BatchEvent.Progressed(ID, item, run(item), first, events, versions));
    }

    /** Returns the current run of an item. */
    private String run(int item) {
        List<BatchAction.Generate> runs =
                all(BatchAction.Generate.class).stream()
                        .filter(start -> start.item() == item)
                        .toList();
        return runs.get(runs.size() - 1).run();
    }

    private void list(int item) {
        event(new BatchEvent.Generated(ID, item, "text" + item, List.of(5L)));
        event(new BatchEvent.Scored(ID, item, "signature"));
    }

    private void states(BatchState state, long version) {
        event(new BatchEvent.StatesChanged(List.of(new VersionedState(state, version)), List.of()));
    }

    private void event(BatchEvent event) {
        mRun.event(event);
    }

    private void advance(long nanos) {
        mRun.advance(nanos);
    }

    private <T extends BatchAction> List<T> all(Class<T> type) {
        return mRun.all(type);
    }

    private <T extends BatchAction> T last(Class<T> type) {
        return mRun.last(type);
    }

    private static BatchState state(String owner, String start) {
        return new BatchState(ID, "team", "h", "/p/1", 2, 0, 0, owner, start, 1, false, CONTENT);
    }

    private static BatchSpec spec() {
        return new BatchSpec(ID, "m", 7, 5, 1, List.of(item("x0", 5), item("x1", 9)));
    }

    private static BatchItem item(String id, long expectedTokens) {
        return new BatchItem(
                id,
                "g",
                "/p/" + id,
                Map.of(),
                new byte[0],
                10,
                expectedTokens,
                Option.some(new ScoringCall("score-" + id, "h", "/s/" + id, new byte[0])));
    }
}

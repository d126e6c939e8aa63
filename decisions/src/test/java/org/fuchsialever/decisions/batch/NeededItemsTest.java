package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.queue.StepOrder;
import org.junit.jupiter.api.Test;

/** Steps of three groups of two items, of which two groups are needed, before a short pool. */
class NeededItemsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long[] TOKENS = {10, 20, 90, 10, 30, 40};
    private static final long DUE_MILLIS = 7_500;

    private final BatchDutyRun mRun = new BatchDutyRun();

    @Test
    void startsTheItemsBeyondTheTargetLast() {
        open(StepOrder.NEEDED_FIRST, 1, Set.of(), Map.of());
        assertThat(starts(), contains(5, 4, 1, 0, 2, 3));
    }

    /** An upstream pool of a deployment that reports no slowdown is served as before. */
    @Test
    void startsTheLongestItemsFirstWhereTheServiceIsNotQueuedFairly() {
        open(StepOrder.LONGEST_FIRST, 0, Set.of(), Map.of());
        assertThat(starts(), contains(2, 5, 4, 1, 0, 3));
        List<Long> ranks = generations().stream().map(BatchAction.Generate::queueRank).toList();
        assertThat(ranks.get(5) - ranks.get(0), is(5L));
    }

    @Test
    void startsTheLongestItemsFirstWhereThePoolHasRoom() {
        open(StepOrder.NEEDED_FIRST, 100, Set.of(), Map.of());
        assertThat(starts(), contains(2, 5, 4, 1, 0, 3));
    }

    @Test
    void countsWhatOtherInstancesHaveOpen() {
        BatchState other =
                new BatchState("o", "t2", "h", "/p", 900, 0, 0, "i2", "s2", 1, false, content());
        event(new BatchEvent.StoreReachability(true));
        event(new BatchEvent.StatesChanged(List.of(new VersionedState(other, 3)), List.of()));
        open(StepOrder.NEEDED_FIRST, 100, Set.of(), Map.of());
        assertThat(starts(), contains(5, 4, 1, 0, 2, 3));
    }

    @Test
    void goesByItsOwnSubmissionsWhileTheStoreIsSilent() {
        BatchState other =
                new BatchState("o", "t2", "h", "/p", 900, 0, 0, "i2", "s2", 1, false, content());
        event(new BatchEvent.StatesChanged(List.of(new VersionedState(other, 3)), List.of()));
        event(new BatchEvent.StoreReachability(false));
        open(StepOrder.NEEDED_FIRST, 100, Set.of(), Map.of());
        assertThat(starts(), contains(2, 5, 4, 1, 0, 3));
    }

    /** The submission of a lost owner is opened here with its results and stored texts. */
    @Test
    void goesOnWithTheGroupsThatTheFormerOwnerHadBegun() {
        PartialText stored =
                new PartialText(
                        List.of(new TextSegment("x3", 1, "former", "", List.of("1"), List.of(5L))));
        open(StepOrder.NEEDED_FIRST, 1, Set.of("x0"), Map.of("x3", stored));
        assertThat(starts(), contains(3, 2, 1, 5, 4));
    }

    @Test
    void scoresTheTextsOfTheGroupThatIsNearestToCompletionFirst() {
        open(StepOrder.NEEDED_FIRST, 1, Set.of(), Map.of());
        event(new BatchEvent.Generated("b", 4, "text", List.of(5L)));
        event(new BatchEvent.Scored("b", 4, "signature"));
        event(new BatchEvent.Generated("b", 0, "text", List.of(5L)));
        event(new BatchEvent.Generated("b", 2, "text", List.of(5L)));
        event(new BatchEvent.Generated("b", 5, "text", List.of(5L)));
        List<BatchAction.Score> scores = mRun.all(BatchAction.Score.class);
        assertThat(scores.get(3).item(), is(5));
        assertThat(scores.get(3).queueRank(), lessThan(scores.get(1).queueRank()));
        assertThat(scores.get(1).queueRank(), lessThan(scores.get(2).queueRank()));
        // A text beyond the target yields to steps that are submitted until this one is due.
        assertThat(
                scores.get(2).queueRank() >= 2 * TimeUnit.MILLISECONDS.toMicros(DUE_MILLIS),
                is(true));
    }

    /** The store tells of the team's submissions elsewhere; without it they are not known. */
    @Test
    void weighsATeamByThePartOfItsWorkThatIsHere() {
        BatchState other =
                new BatchState("o", "t", "h", "/p", 18, 0, 0, "i2", "s2", 1, false, content());
        event(new BatchEvent.StoreReachability(true));
        event(new BatchEvent.StatesChanged(List.of(new VersionedState(other, 3)), List.of()));
        open(StepOrder.NEEDED_FIRST, 100, Set.of(), Map.of());
        mRun.advance(SECOND / 5);
        assertThat(
                mRun.actions().contains(new BatchAction.WeighTeams(Map.of("t", 0.25))), is(true));
        event(new BatchEvent.StoreReachability(false));
        mRun.advance(SECOND / 5);
        assertThat(mRun.actions().contains(new BatchAction.WeighTeams(Map.of())), is(true));
    }

    @Test
    void weighsNoTeamWhereTheServiceIsNotQueuedFairly() {
        open(StepOrder.LONGEST_FIRST, 0, Set.of(), Map.of());
        mRun.advance(SECOND / 5);
        assertThat(mRun.all(BatchAction.WeighTeams.class), is(empty()));
    }

    private void open(
            StepOrder order, int poolSlots, Set<String> finished, Map<String, PartialText> texts) {
        List<BatchItem> items = new ArrayList<>();
        for (int item = 0; item < TOKENS.length; item++) {
            items.add(
                    new BatchItem(
                            "x" + item,
                            "g" + item / 2,
                            "/p",
                            Map.of(),
                            new byte[0],
                            100,
                            TOKENS[item],
                            Option.some(new ScoringCall("s" + item, "h", "/s", new byte[0]))));
        }
        BatchState state =
                new BatchState("b", "t", "h", "/p", 6, 0, 0, "i1", "s1", 1, false, content());
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                10,
                                new BatchSpec("b", "m", 1, 5, 2, items),
                                finished,
                                DUE_MILLIS,
                                mRun.now() + 40 * SECOND,
                                false,
                                texts,
                                order,
                                poolSlots,
                                mRun.now() + 7 * SECOND)));
    }

    private static BatchContent content() {
        return new BatchContent("m", 1, 0, 0);
    }

    private List<BatchAction.Generate> generations() {
        return mRun.all(BatchAction.Generate.class);
    }

    private List<Integer> starts() {
        return generations().stream().map(BatchAction.Generate::item).toList();
    }

    private void event(BatchEvent event) {
        mRun.event(event);
    }
}

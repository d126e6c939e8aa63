package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.junit.jupiter.api.Test;

/** Steps that are larger than what an instance works on at once. */
class ItemWindowTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final BatchDutyRun mRun = new BatchDutyRun();

    /** Guards against accepted items that are given up without a run. */
    @Test
    void runsEachItemOfAStepThatIsLargerThanTheWindow() {
        int items = 3 * ItemWindow.MAX_ITEMS;
        open("large", items);
        Set<Integer> finished = new HashSet<>();
        List<BatchAction.Generate> started = starts("large");
        while (finished.size() < items) {
            assertThat(started.size() - finished.size(), lessThanOrEqualTo(ItemWindow.MAX_ITEMS));
            for (BatchAction.Generate start : started.subList(finished.size(), started.size())) {
                finish("large", start.item());
                finished.add(start.item());
            }
            started = starts("large");
        }
        assertThat(finished, hasSize(items));
        assertThat(started, hasSize(items));
        assertThat(abandoned(), is(empty()));
    }

    @Test
    void startsASmallStepAtOnceBesideOneThatFillsTheWindow() {
        open("large", 2 * ItemWindow.MAX_ITEMS);
        open("small", 20);
        assertThat(starts("small"), hasSize(20));
    }

    @Test
    void givesRoomThatFreesToTheSubmissionWithTheFewestItemsInProgress() {
        open("first", 2 * ItemWindow.MAX_ITEMS);
        open("second", 2 * ItemWindow.MAX_ITEMS);
        int before = starts("second").size();
        for (BatchAction.Generate start : starts("first").subList(0, 1_000)) {
            finish("first", start.item());
        }
        assertThat(starts("first"), hasSize(ItemWindow.MAX_ITEMS));
        assertThat(starts("second").size() > before, is(true));
    }

    @Test
    void repeatsAnItemThatFoundTheInstanceFull() {
        open("b", 2);
        event(new BatchEvent.Deferred("b", 0));
        assertThat(starts("b"), hasSize(2));
        advance(SECOND);
        assertThat(starts("b"), hasSize(3));
        assertThat(starts("b").get(2).item(), is(0));
        assertThat(abandoned(), is(empty()));
    }

    @Test
    void repeatsTheScoringThatFoundTheInstanceFullWithoutGeneratingAgain() {
        open("b", 2);
        event(new BatchEvent.Generated("b", 0, "text", List.of(5L)));
        event(new BatchEvent.Deferred("b", 0));
        advance(SECOND);
        assertThat(starts("b"), hasSize(2));
        assertThat(mRun.all(BatchAction.Score.class), hasSize(2));
    }

    /** Guards against items of a step that was ended which start when room frees. */
    @Test
    void startsNothingOfASubmissionThatHasEnded() {
        open("large", 2 * ItemWindow.MAX_ITEMS);
        BatchState ended = state("large", 2 * ItemWindow.MAX_ITEMS).asEnded();
        event(
                new BatchEvent.StatesChanged(
                        List.of(new BatchEvent.VersionedState(ended, 20)), List.of()));
        finish("large", starts("large").get(0).item());
        advance(SECOND);
        assertThat(starts("large"), hasSize(ItemWindow.MAX_ITEMS));
    }

    /** Guards against items that are never listed because they were waiting at the end. */
    @Test
    void givesWaitingItemsUpWhenTheirTimeIsOver() {
        int items = ItemWindow.MAX_ITEMS + 10;
        open("large", items);
        advance(40 * SECOND);
        for (int commit = 0; commit < items / 40 + 2; commit++) {
            event(new BatchEvent.Committed("large", 11 + commit));
        }
        assertThat(abandoned(), hasSize(items));
    }

    private void open(String id, int items) {
        List<BatchItem> all = new ArrayList<>();
        for (int item = 0; item < items; item++) {
            all.add(
                    new BatchItem(
                            id + item,
                            "g",
                            "/p",
                            Map.of(),
                            new byte[0],
                            1,
                            0,
                            Option.some(new ScoringCall("s" + item, "h", "/s", new byte[0]))));
        }
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state(id, items),
                                10,
                                new BatchSpec(id, "m", 1, 5, 1, all),
                                Set.of(),
                                7_500,
                                mRun.now() + 40 * SECOND,
                                false,
                                Map.of())));
    }

    private static BatchState state(String id, int items) {
        BatchContent content = new BatchContent("m", 1, 0, 0);
        return new BatchState(id, "t", "h", "/p", items, 0, 0, "i1", "s1", 1, false, content);
    }

    private void finish(String id, int item) {
        event(new BatchEvent.Generated(id, item, "text", List.of(5L)));
        event(new BatchEvent.Scored(id, item, "signature"));
    }

    private List<BatchAction.Generate> starts(String id) {
        return mRun.all(BatchAction.Generate.class).stream()
                .filter(start -> start.spec().id().equals(id))
                .toList();
    }

    private List<ItemResult> abandoned() {
        return mRun.all(BatchAction.Commit.class).stream()
                .flatMap(commit -> commit.results().stream())
                .filter(result -> !result.completed())
                .distinct()
                .toList();
    }

    private void event(BatchEvent event) {
        mRun.event(event);
    }

    private void advance(long nanos) {
        mRun.advance(nanos);
    }
}

package org.fuchsialever.decisions.directory;

import static org.fuchsialever.decisions.directory.DirectoryTable.BATCHES;
import static org.fuchsialever.decisions.directory.DirectoryTable.DECLARATIONS;
import static org.fuchsialever.decisions.directory.DirectoryTable.INSTANCES;
import static org.fuchsialever.decisions.directory.DirectoryTable.UPSTREAMS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DirectoryDutyTest {
    private final DirectoryDuty mDuty = new DirectoryDuty(new SplittableRandom(1));
    private final List<DirectoryAction> mActions = new ArrayList<>();

    @Test
    void readsEachTableInFullAndThenFollowsItsChanges() {
        mDuty.onTimer(0, mActions::add);
        assertThat(mActions, hasSize(DirectoryTable.values().length));
        range(DECLARATIONS, 10, row("config", 7));
        assertThat(mActions, hasItem(new DirectoryAction.ReadFeed(DECLARATIONS, 10)));
    }

    @Test
    void neverGoesBackToAnOlderRow() {
        range(DECLARATIONS, 10, row("config", 9));
        mActions.clear();
        feed(DECLARATIONS, 11, row("config", 8));
        assertThat(changes(), is(empty()));
    }

    @Test
    void repeatsAReadThatIsOlderThanOneBefore() {
        range(DECLARATIONS, 50, row("config", 40));
        mDuty.onEvent(new DirectoryEvent.HistoryLost(DECLARATIONS), 0, mActions::add);
        mActions.clear();
        range(DECLARATIONS, 30, row("config", 20));
        assertThat(changes(), is(empty()));
        mDuty.onTimer(TimeUnit.SECONDS.toNanos(1), mActions::add);
        assertThat(mActions, hasItem(new DirectoryAction.ReadTable(DECLARATIONS)));
    }

    @Test
    void reportsRowsRemovedWhileTheHistoryWasLost() {
        range(BATCHES, 10, row("b1", 5), row("b2", 6));
        mDuty.onEvent(new DirectoryEvent.HistoryLost(BATCHES), 0, mActions::add);
        assertThat(mActions, hasItem(new DirectoryAction.ReadTable(BATCHES)));
        mActions.clear();
        range(BATCHES, 20, row("b2", 6));
        assertThat(changes(), hasSize(1));
        assertThat(changes().get(0).key(), is("b1"));
        assertThat(changes().get(0).removed(), is(true));
    }

    /** Guards against readers who take the changes of a read apart and lose their order. */
    @Test
    void reportsOnlyTheLastOfSeveralChangesOfARow() {
        range(UPSTREAMS, 10, row("u1", 5), row("u2", 6));
        mActions.clear();
        feed(UPSTREAMS, 14, row("u1", 11), removed("u2", 12), removed("u1", 13), row("u2", 14));
        List<String> reported =
                changes().stream()
                        .map(row -> row.key() + (row.removed() ? " removed" : " written"))
                        .toList();
        assertThat(reported, containsInAnyOrder("u1 removed", "u2 written"));
    }

    @Test
    void reportsTheLossAndRecoveryOfTheStoreOnce() {
        range(BATCHES, 10);
        fail(BATCHES);
        fail(BATCHES);
        feed(BATCHES, 10);
        long lost =
                mActions.stream()
                        .filter(DirectoryAction.StoreUnreachable.class::isInstance)
                        .count();
        assertThat(lost, is(1L));
        assertThat(mActions, hasItem(new DirectoryAction.StoreReachable(BATCHES)));
    }

    @Test
    void readsAgainWithinASecondAfterManyFailures() {
        range(BATCHES, 10);
        for (int i = 0; i < 20; i++) {
            fail(BATCHES);
        }
        mActions.clear();
        mDuty.onTimer(TimeUnit.SECONDS.toNanos(1), mActions::add);
        assertThat(mActions, hasItem(new DirectoryAction.ReadFeed(BATCHES, 10)));
    }

    /** Guards against one read by every instance for every change of a busy table. */
    @Test
    void readsChangesOfABusyTableAtMostOnceInItsInterval() {
        range(UPSTREAMS, 10, row("u1", 5));
        mActions.clear();
        for (int version = 11; version < 111; version++) {
            long now = TimeUnit.MILLISECONDS.toNanos(10L * (version - 10));
            feed(UPSTREAMS, version, now, row("u1", version));
            mDuty.onTimer(now, mActions::add);
        }
        long reads =
                mActions.stream()
                        .filter(DirectoryAction.ReadFeed.class::isInstance)
                        .filter(action -> ((DirectoryAction.ReadFeed) action).table() == UPSTREAMS)
                        .count();
        assertThat(reads, is(lessThanOrEqualTo(3L)));
        assertThat(changes(), hasSize(100));
    }

    /** Guards against instances that together exceed the store's rate of reads. */
    @Test
    void readsLessOftenOutsideTheWorkingSet() {
        range(UPSTREAMS, 500);
        feed(UPSTREAMS, 501, 0, row("u1", 501));
        mActions.clear();
        mDuty.onTimer(TimeUnit.MILLISECONDS.toNanos(999), mActions::add);
        assertThat(mActions, not(hasItem(new DirectoryAction.ReadFeed(UPSTREAMS, 501))));
        mDuty.onTimer(TimeUnit.MILLISECONDS.toNanos(1_000), mActions::add);
        assertThat(mActions, hasItem(new DirectoryAction.ReadFeed(UPSTREAMS, 501)));
    }

    @Test
    void readsNoLessOftenWhenOtherInstancesAreMany() {
        mDuty.onEvent(new DirectoryEvent.MembershipChanged(true), 0, mActions::add);
        MirrorRow[] instances = new MirrorRow[400];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = row("n" + i, i + 1);
        }
        range(INSTANCES, 500, instances);
        range(UPSTREAMS, 500);
        feed(UPSTREAMS, 501, 0, row("u1", 501));
        mActions.clear();
        mDuty.onTimer(TimeUnit.MILLISECONDS.toNanos(400), mActions::add);
        assertThat(mActions, hasItem(new DirectoryAction.ReadFeed(UPSTREAMS, 501)));
    }

    private void range(DirectoryTable table, long version, MirrorRow... rows) {
        mDuty.onEvent(
                new DirectoryEvent.TableRead(table, List.of(rows), version), 0, mActions::add);
    }

    private void feed(DirectoryTable table, long version, MirrorRow... rows) {
        feed(table, version, 0, rows);
    }

    private void feed(DirectoryTable table, long version, long now, MirrorRow... rows) {
        mDuty.onEvent(
                new DirectoryEvent.FeedRead(table, List.of(rows), version), now, mActions::add);
    }

    private void fail(DirectoryTable table) {
        mDuty.onEvent(new DirectoryEvent.ReadFailed(table, "timeout"), 0, mActions::add);
    }

    private List<MirrorRow> changes() {
        return mActions.stream()
                .filter(DirectoryAction.Changed.class::isInstance)
                .flatMap(action -> ((DirectoryAction.Changed) action).rows().stream())
                .toList();
    }

    private static MirrorRow removed(String key, long version) {
        return new MirrorRow(key, new byte[0], version, true);
    }

    private static MirrorRow row(String key, long version) {
        return new MirrorRow(key, new byte[] {1}, version, false);
    }
}

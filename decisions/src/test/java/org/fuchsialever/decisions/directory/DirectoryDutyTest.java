package org.fuchsialever.decisions.directory;

import static org.fuchsialever.decisions.directory.DirectoryTable.BATCHES;
import static org.fuchsialever.decisions.directory.DirectoryTable.DECLARATIONS;
import static org.fuchsialever.decisions.directory.DirectoryTable.INSTANCES;
import static org.fuchsialever.decisions.directory.DirectoryTable.UPSTREAMS;
import static org.hamcrest.MatcherAssert.assertThat;
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
    private final DirectoryDuty duty = new DirectoryDuty(new SplittableRandom(1));
    private final List<DirectoryAction> actions = new ArrayList<>();

    @Test
    void readsEachTableWholeAndThenFollowsItsChanges() {
        duty.onTimer(0, actions::add);
        assertThat(actions, hasSize(DirectoryTable.values().length));
        range(DECLARATIONS, 10, row("config", 7));
        assertThat(actions, hasItem(new DirectoryAction.ReadFeed(DECLARATIONS, 10)));
    }

    @Test
    void neverGoesBackToAnOlderRow() {
        range(DECLARATIONS, 10, row("config", 9));
        actions.clear();
        feed(DECLARATIONS, 11, row("config", 8));
        assertThat(changes(), is(empty()));
    }

    @Test
    void repeatsAReadThatIsOlderThanOneBefore() {
        range(DECLARATIONS, 50, row("config", 40));
        duty.onEvent(new DirectoryEvent.HistoryLost(DECLARATIONS), 0, actions::add);
        actions.clear();
        range(DECLARATIONS, 30, row("config", 20));
        assertThat(changes(), is(empty()));
        duty.onTimer(TimeUnit.SECONDS.toNanos(1), actions::add);
        assertThat(actions, hasItem(new DirectoryAction.ReadTable(DECLARATIONS)));
    }

    @Test
    void noticesRowsThatWentWhileTheHistoryWasLost() {
        range(BATCHES, 10, row("b1", 5), row("b2", 6));
        duty.onEvent(new DirectoryEvent.HistoryLost(BATCHES), 0, actions::add);
        assertThat(actions, hasItem(new DirectoryAction.ReadTable(BATCHES)));
        actions.clear();
        range(BATCHES, 20, row("b2", 6));
        assertThat(changes(), hasSize(1));
        assertThat(changes().get(0).key(), is("b1"));
        assertThat(changes().get(0).removed(), is(true));
    }

    @Test
    void tellsLostAndRegainedContactOnce() {
        range(BATCHES, 10);
        fail(BATCHES);
        fail(BATCHES);
        feed(BATCHES, 10);
        long lost =
                actions.stream().filter(DirectoryAction.StoreUnreachable.class::isInstance).count();
        assertThat(lost, is(1L));
        assertThat(actions, hasItem(new DirectoryAction.StoreReachable(BATCHES)));
    }

    @Test
    void readsAgainWithinASecondAfterManyFailures() {
        range(BATCHES, 10);
        for (int i = 0; i < 20; i++) {
            fail(BATCHES);
        }
        actions.clear();
        duty.onTimer(TimeUnit.SECONDS.toNanos(1), actions::add);
        assertThat(actions, hasItem(new DirectoryAction.ReadFeed(BATCHES, 10)));
    }

    /** Guards against one read by every instance for every change of a busy table. */
    @Test
    void readsChangesOfABusyTableAtMostOnceInItsInterval() {
        range(UPSTREAMS, 10, row("u1", 5));
        actions.clear();
        for (int version = 11; version < 111; version++) {
            long now = TimeUnit.MILLISECONDS.toNanos(10L * (version - 10));
            feed(UPSTREAMS, version, now, row("u1", version));
            duty.onTimer(now, actions::add);
        }
        long reads =
                actions.stream()
                        .filter(DirectoryAction.ReadFeed.class::isInstance)
                        .filter(action -> ((DirectoryAction.ReadFeed) action).table() == UPSTREAMS)
                        .count();
        assertThat(reads, is(lessThanOrEqualTo(3L)));
        assertThat(changes(), hasSize(100));
    }

    /** Guards against instances that together exceed the store's rate of reads. */
    @Test
    void readsLessOftenWhenThereAreManyInstances() {
        MirrorRow[] instances = new MirrorRow[400];
        for (int i = 0; i < instances.length; i++) {
            instances[i] = row("n" + i, i + 1);
        }
        range(INSTANCES, 500, instances);
        range(UPSTREAMS, 500);
        feed(UPSTREAMS, 501, 0, row("u1", 501));
        actions.clear();
        duty.onTimer(TimeUnit.MILLISECONDS.toNanos(999), actions::add);
        assertThat(actions, not(hasItem(new DirectoryAction.ReadFeed(UPSTREAMS, 501))));
        duty.onTimer(TimeUnit.MILLISECONDS.toNanos(1_000), actions::add);
        assertThat(actions, hasItem(new DirectoryAction.ReadFeed(UPSTREAMS, 501)));
    }

    private void range(DirectoryTable table, long version, MirrorRow... rows) {
        duty.onEvent(new DirectoryEvent.TableRead(table, List.of(rows), version), 0, actions::add);
    }

    private void feed(DirectoryTable table, long version, MirrorRow... rows) {
        feed(table, version, 0, rows);
    }

    private void feed(DirectoryTable table, long version, long now, MirrorRow... rows) {
        duty.onEvent(new DirectoryEvent.FeedRead(table, List.of(rows), version), now, actions::add);
    }

    private void fail(DirectoryTable table) {
        duty.onEvent(new DirectoryEvent.ReadFailed(table, "timeout"), 0, actions::add);
    }

    private List<MirrorRow> changes() {
        return actions.stream()
                .filter(DirectoryAction.Changed.class::isInstance)
                .flatMap(action -> ((DirectoryAction.Changed) action).rows().stream())
                .toList();
    }

    private static MirrorRow row(String key, long version) {
        return new MirrorRow(key, new byte[] {1}, version, false);
    }
}

package org.fuchsialever.node.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.version.SubmissionLoad;
import org.fuchsialever.decisions.version.VersionEvent;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

class SubmissionWatchTest {
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final List<VersionEvent> mEvents = new ArrayList<>();
    private final SubmissionWatch mWatch =
            new SubmissionWatch(mTime, () -> Option.some(5_000L), mEvents::add);

    @Test
    void datesASubmissionByTheClockOfTheStore() {
        mTime.advance(Duration.ofSeconds(60));
        changed(state("b", "m", 0));
        SubmissionLoad load = loads().get(0);
        assertThat(load.submittedNanos(), is(mTime.nanoTime() - TimeUnit.SECONDS.toNanos(2)));
        assertThat(load.expectedTokens(), is(640L));
        assertThat(load.openItemCount(), is(8));
    }

    @Test
    void reportsProgressInQuarters() {
        for (int results = 0; results <= 8; results++) {
            changed(state("b", "m", results));
        }
        assertThat(
                loads().stream().map(SubmissionLoad::openItemCount).toList(),
                is(List.of(8, 6, 4, 2, 0)));
    }

    @Test
    void reportsTheRemovalOfASubmissionOnce() {
        changed(state("b", "m", 0));
        mWatch.onBatchStatesChanged(List.of(), List.of("b"));
        mWatch.onBatchStatesChanged(List.of(), List.of("b"));
        assertThat(mEvents, hasSize(2));
    }

    @Test
    void ignoresSubmissionsToPlainServices() {
        changed(state("b", "", 0));
        assertThat(mEvents, is(empty()));
    }

    private void changed(BatchState state) {
        mWatch.onBatchStatesChanged(List.of(new VersionedState(state, 1)), List.of());
    }

    private List<SubmissionLoad> loads() {
        return mEvents.stream()
                .map(VersionEvent.SubmissionsChanged.class::cast)
                .flatMap(event -> event.changed().stream())
                .toList();
    }

    private static BatchState state(String id, String model, int results) {
        BatchContent content = new BatchContent(model, 1, 0, 640);
        return new BatchState(id, "t", "h", "/p", 8, results, 3_000, "i", "s", 1, false, content);
    }
}

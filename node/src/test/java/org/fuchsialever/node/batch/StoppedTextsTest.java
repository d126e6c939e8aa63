package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.fuchsialever.decisions.batch.BatchAction;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchDuty;
import org.fuchsialever.decisions.batch.BatchEvent;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.BatchSpec;
import org.fuchsialever.decisions.batch.BatchState;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.forward.AttemptReader;
import org.junit.jupiter.api.Test;

/** What is stored of a text whose run is stopped by the end of its submission. */
class StoppedTextsTest {
    private static final BatchItem ITEM =
            new BatchItem("x", "g", "/p", Map.of(), new byte[0], 30, 0, Option.none());
    private static final BatchState STATE =
            new BatchState(
                    "b",
                    "t",
                    "h",
                    "/p",
                    1,
                    0,
                    0,
                    "i",
                    "s",
                    1,
                    false,
                    new BatchContent("m", 1, 0, 0));

    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final BatchDuty mDuty = new BatchDuty("i", "s", new SplittableRandom(1));
    private final List<BatchAction> mActions = new ArrayList<>();
    private final List<TextProgress> mReports = new ArrayList<>();

    /** Guards against results that begin in the middle: a report waits behind the end. */
    @Test
    void beginWithTheirFirstEventThoughTheOwnerHasReadNoReport() {
        ItemGenerationHandler run = start(PartialText.NONE);
        generate(run, 1, 20, 10);
        assertThat(mReports, hasSize(1));
        assertThat(storedAfterTheEnd(run, List.of()).events(), is(texts(1, 20)));
    }

    @Test
    void continueWhatTheOwnerHasReadWithoutAGap() {
        ItemGenerationHandler run = start(PartialText.NONE);
        generate(run, 1, 30, 10);
        assertThat(mReports, hasSize(2));
        report(mReports.get(0));
        PartialText stored = storedAfterTheEnd(run, List.of());
        assertThat(stored.events(), is(texts(1, 30)));
        assertThat(stored.versions(), is(List.of(7L)));
    }

    @Test
    void continueAStoredBeginningWithoutAGap() {
        TextSegment former = new TextSegment("x", 1, "former", "", texts(1, 4), List.of(7L));
        ItemGenerationHandler run = start(new PartialText(List.of(former)));
        generate(run, 5, 20, 10);
        assertThat(storedAfterTheEnd(run, List.of(former)).events(), is(texts(1, 20)));
    }

    /** Guards against rows that the store refuses: many reports may be on their way. */
    @Test
    void areStoredInPartsThatFitIntoARow() {
        ItemGenerationHandler run = start(PartialText.NONE);
        AttemptReader reader = reader(run);
        for (int event = 1; event <= 9; event++) {
            feed(reader, event, "x".repeat(10_000));
        }
        List<TextProgress> parts = run.eventsFrom(-1);
        assertThat(parts.stream().map(part -> part.events().size()).toList(), is(List.of(3, 3, 3)));
    }

    private ItemGenerationHandler start(PartialText beginning) {
        BatchSpec spec = new BatchSpec("b", "m", 1, 5, 1, List.of(ITEM));
        event(
                new BatchEvent.Opened(
                        new BatchEvent.OpenedBatch(
                                STATE,
                                10,
                                spec,
                                Set.of(),
                                7_500,
                                Long.MAX_VALUE,
                                false,
                                beginning.isEmpty() ? Map.of() : Map.of("x", beginning))));
        return new ItemGenerationHandler(
                ITEM,
                "h",
                "t",
                1_000,
                new UpstreamProtocolStub(),
                beginning,
                mTime,
                mReports::add,
                reason -> {},
                (text, versions) -> {},
                reason -> {});
    }

    /** Generates events; the time of one passes between them. */
    private void generate(ItemGenerationHandler run, int first, int last, int perSecond) {
        AttemptReader reader = reader(run);
        for (int event = first; event <= last; event++) {
            feed(reader, event, "text " + event);
            mTime.advanceNanos(Duration.ofSeconds(1).toNanos() / perSecond);
        }
    }

    private static AttemptReader reader(ItemGenerationHandler run) {
        AttemptReader reader = run.reader(1);
        reader.onHead(200, new DefaultHttpHeaders());
        return reader;
    }

    private static void feed(AttemptReader reader, int event, String data) {
        reader.onContent(
                ("id: " + event + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    private void report(TextProgress part) {
        String run = last(BatchAction.Generate.class).run();
        event(
                new BatchEvent.Progressed(
                        "b", 0, run, part.firstEvent(), part.events(), part.versions()));
    }

    private PartialText storedAfterTheEnd(ItemGenerationHandler run, List<TextSegment> before) {
        event(
                new BatchEvent.StatesChanged(
                        List.of(new BatchEvent.VersionedState(STATE.asEnded(), 20)), List.of()));
        BatchAction.KeepTexts kept = last(BatchAction.KeepTexts.class);
        List<TextSegment> stored = new ArrayList<>(before);
        stored.addAll(kept.reported());
        kept.open()
                .forEach(
                        open ->
                                stored.addAll(
                                        BatchActions.segments(
                                                open, run.eventsFrom(open.nextEvent()))));
        return PartialText.join(stored);
    }

    private void event(BatchEvent event) {
        mDuty.onEvent(event, mTime.nanoTime(), mActions::add);
    }

    private <T extends BatchAction> T last(Class<T> type) {
        List<T> found = mActions.stream().filter(type::isInstance).map(type::cast).toList();
        return found.get(found.size() - 1);
    }

    private static List<String> texts(int first, int last) {
        return IntStream.rangeClosed(first, last).mapToObj(event -> "text " + event).toList();
    }
}

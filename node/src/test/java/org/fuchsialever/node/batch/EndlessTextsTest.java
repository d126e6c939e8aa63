package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.batch.TextSegment;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.forward.AttemptReader;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.ExchangeOutcome;
import org.junit.jupiter.api.Test;

/** A faulty engine sends events of a text without end. */
class EndlessTextsTest {
    private static final int MAX_TOKENS = 40;
    private static final BatchItem ITEM =
            new BatchItem("x", "g", "/p", Map.of(), new byte[0], MAX_TOKENS, 0, Option.none());

    private final List<TextProgress> mReports = new ArrayList<>();
    private final List<String> mTexts = new ArrayList<>();
    private final List<String> mDropped = new ArrayList<>();

    /** Guards against a text that grows until memory runs out. */
    @Test
    void startOverWhenThereAreMoreEventsThanTokens() {
        ItemGenerationHandler run = start(PartialText.NONE);
        AttemptReader reader = reader(run, 1);
        for (int event = 1; event <= MAX_TOKENS; event++) {
            assertThat(feed(reader, event, "junk"), is(ContentVerdict.PROGRESS));
        }
        assertThat(feed(reader, MAX_TOKENS + 1, "junk"), is(ContentVerdict.INVALID));
        assertThat(reader.onEnd(ExchangeOutcome.MALFORMED).outcome(), is(AttemptOutcome.MALFORMED));
        assertThat(mDropped, is(List.of("TOO_MANY_EVENTS")));
        completeTextAtNextEngine(run);
        assertThat(mTexts, is(List.of("one\ntwo")));
    }

    /** Guards against a text that no page of results can hold. */
    @Test
    void startOverWhenTheyDoNotFitIntoAPageOfResults() {
        ItemGenerationHandler run = start(PartialText.NONE);
        AttemptReader reader = reader(run, 1);
        String data = "x".repeat(199_999);
        for (int event = 1; event <= 5; event++) {
            assertThat(feed(reader, event, data), is(ContentVerdict.PROGRESS));
        }
        assertThat(feed(reader, 6, "x"), is(ContentVerdict.INVALID));
        completeTextAtNextEngine(run);
        assertThat(mTexts, is(List.of("one\ntwo")));
    }

    /** Guards against stored texts in which events of two runs are mixed. */
    @Test
    void areNotReportedOrKeptAfterTheyHaveStartedOver() {
        TextSegment junk = new TextSegment("x", 1, "former", "", List.of("a", "b"), List.of(7L));
        ItemGenerationHandler run = start(new PartialText(List.of(junk)));
        AttemptReader reader = reader(run, 1);
        for (int event = 3; event <= MAX_TOKENS + 1; event++) {
            feed(reader, event, "junk");
        }
        mReports.clear();
        AttemptReader next = reader(run, 2);
        feed(next, 1, "x".repeat(100_000));
        feed(next, 2, "y");
        assertThat(mReports, hasSize(0));
        assertThat(run.eventsFrom(1), hasSize(0));
        assertThat(run.eventsFrom(-1), hasSize(0));
    }

    private void completeTextAtNextEngine(ItemGenerationHandler run) {
        AttemptReader next = reader(run, 2);
        feed(next, 1, "one");
        feed(next, 2, "two");
        run.deliver(2);
    }

    private ItemGenerationHandler start(PartialText beginning) {
        return new ItemGenerationHandler(
                ITEM,
                "h",
                "t",
                1_000,
                new UpstreamProtocolStub(),
                beginning,
                new ManualTimeSource(0),
                mReports::add,
                mDropped::add,
                (text, versions) -> mTexts.add(text),
                reason -> {});
    }

    private static AttemptReader reader(ItemGenerationHandler run, int attempt) {
        AttemptReader reader = run.reader(attempt);
        reader.onHead(200, new DefaultHttpHeaders());
        return reader;
    }

    private static ContentVerdict feed(AttemptReader reader, int event, String data) {
        return reader.onContent(
                ("id: " + event + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}

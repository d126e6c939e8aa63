package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.forward.AttemptReader;
import org.junit.jupiter.api.Test;

/** What an item's text is made of after its run was submitted again for a moved route. */
class ReroutedTextsTest {
    private static final BatchItem ITEM =
            new BatchItem("x", "g", "/p", Map.of(), new byte[0], 30, 0, Option.none());

    private final List<String> mTexts = new ArrayList<>();

    /** Guards against texts joined from two runs: attempts count from 1 again after a move. */
    @Test
    void takeNoEventOfTheRunBeforeTheMove() {
        ItemGenerationHandler run =
                new ItemGenerationHandler(
                        ITEM,
                        "h",
                        "t",
                        1_000,
                        new UpstreamProtocolStub(),
                        PartialText.NONE,
                        new ManualTimeSource(0),
                        part -> {},
                        reason -> {},
                        (text, versions) -> mTexts.add(text),
                        reason -> {});
        AttemptReader before = reader(run);
        feed(before, 1, "one");
        // The next run is asked to go on after event 1, while the cancellation is on its way.
        AttemptReader after = reader(run);
        feed(before, 2, "two of the run before");
        feed(after, 2, "two");
        feed(after, 3, "three");
        run.deliver(1);
        assertThat(mTexts, is(List.of("one\ntwo\nthree")));
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
}

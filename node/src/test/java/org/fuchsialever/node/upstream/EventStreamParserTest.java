package org.fuchsialever.node.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.junit.jupiter.api.Test;

/** Guards against events that are split, merged or lost where network reads end. */
class EventStreamParserTest {
    private static final String STREAM =
            ": comment\n\ndata: first\n\nevent: x\r\ndata:second ü\r\n\r\n"
                    + "data: two\ndata: lines\n\ndata: [DONE]\n\ndata: incomplete";

    @Test
    void findsTheSameEventsWhereverTheStreamIsCut() {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        Random random = new Random(20261204);
        for (int round = 0; round < 200; round++) {
            EventStreamParser parser = new EventStreamParser(1_000);
            List<String> events = new ArrayList<>();
            int from = 0;
            while (from < bytes.length) {
                int to = Math.min(bytes.length, from + 1 + random.nextInt(9));
                events.addAll(parser.feed(Arrays.copyOfRange(bytes, from, to)));
                from = to;
            }
            assertThat(events, contains("first", "second ü", "two\nlines", "[DONE]"));
        }
    }

    @Test
    void refusesAnEventThatIsLargerThanItsBuffer() {
        EventStreamParser parser = new EventStreamParser(10);
        parser.feed("data: 12".getBytes(StandardCharsets.UTF_8));

        UpstreamException failure =
                assertThrows(
                        UpstreamException.class,
                        () -> parser.feed("345".getBytes(StandardCharsets.UTF_8)));

        assertThat(failure.result(), is(equalTo(AttemptResult.MALFORMED_ANSWER)));
    }
}

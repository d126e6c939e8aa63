package org.fuchsialever.node.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerSentEventParserTest {
    private static final int BLOCK_BYTES = 64 * 1_024;
    private static final int ROUNDS = 2_000;

    @Test
    void stopsReadingAnEventWithoutEnd() {
        ServerSentEventParser parser = new ServerSentEventParser("version");
        byte[] block = "x".repeat(BLOCK_BYTES).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 100 && !parser.isOverlong(); i++) {
            assertThat(parser.feed(block), is(empty()));
        }
        assertThat(parser.isOverlong(), is(true));
        assertThat(parser.feed("\n\n".getBytes(StandardCharsets.US_ASCII)), is(empty()));
    }

    /** Compares with events that are known because the test wrote them. */
    @Test
    void readsTheSameEventsWhereverTheBytesAreCut() {
        SplittableRandom random = new SplittableRandom(7);
        for (int round = 0; round < ROUNDS; round++) {
            StringBuilder text = new StringBuilder();
            List<String> expected = new ArrayList<>();
            for (int event = 0, count = random.nextInt(1, 6); event < count; event++) {
                String data =
                        "d".repeat(random.nextInt(0, 40)) + (char) random.nextInt(0x80, 0x900);
                String end = random.nextBoolean() ? "\n" : "\r\n";
                text.append(random.nextBoolean() ? ": comment" + end : "");
                text.append("id: ").append(event).append(end);
                text.append("data: ").append(data).append(end).append(end);
                expected.add(event + " " + data);
            }
            assertThat(readInCuts(text.toString(), random), is(expected));
        }
    }

    private static List<String> readInCuts(String text, SplittableRandom random) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ServerSentEventParser parser = new ServerSentEventParser("version");
        List<String> found = new ArrayList<>();
        int from = 0;
        while (from < bytes.length) {
            int to = Math.min(bytes.length, from + random.nextInt(1, 20));
            for (ServerSentEvent event :
                    parser.feed(java.util.Arrays.copyOfRange(bytes, from, to))) {
                found.add(event.id() + " " + event.data());
            }
            from = to;
        }
        assertThat(parser.hasIncompleteEvent(), is(false));
        return found;
    }
}

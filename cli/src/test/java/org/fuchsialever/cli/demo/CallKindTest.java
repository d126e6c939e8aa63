package org.fuchsialever.cli.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.fuchsialever.standins.EngineStandIn;
import org.junit.jupiter.api.Test;

/** Guards against a demo that takes a cut, mixed or foreign answer for the right one. */
class CallKindTest {
    private static final String DONE = "data: [DONE]\n\n";

    @Test
    void acceptsAStreamWithAllTokens() throws IOException {
        CallKind.Verdict verdict = CallKind.STREAMED.check("a", stream("a", 0, tokens("a")) + DONE);

        assertThat(verdict, is(new CallKind.Verdict(true, 2, tokens("a"))));
    }

    @Test
    void rejectsAStreamWithoutItsEndMark() throws IOException {
        assertThat(CallKind.STREAMED.check("a", stream("a", 0, tokens("a"))).whole(), is(false));
    }

    @Test
    void rejectsAStreamThatLacksATokenOrRepeatsOne() throws IOException {
        int tokens = tokens("a");

        assertThat(CallKind.STREAMED.check("a", stream("a", 1, tokens) + DONE).whole(), is(false));
        assertThat(
                CallKind.STREAMED
                        .check("a", stream("a", 0, 1) + stream("a", 0, tokens) + DONE)
                        .whole(),
                is(false));
    }

    @Test
    void rejectsTheAnswerToAnotherCall() throws IOException {
        assertThat(
                CallKind.STREAMED.check("b", stream("a", 0, tokens("a")) + DONE).whole(),
                is(false));
        assertThat(CallKind.BOOKING.check("b", CallKind.BOOKING.body("a")).whole(), is(false));
    }

    private static int tokens(String name) {
        return DemoDeployment.answerLength("@" + name + " continue");
    }

    private static String stream(String name, int from, int to) {
        StringBuilder events = new StringBuilder();
        for (int i = from; i < to; i++) {
            String token = EngineStandIn.tokenText("@" + name, i);
            String usage = i == to - 1 ? ",\"usage\":{\"prompt_tokens\":2}" : "";
            events.append("data: {\"choices\":[{\"text\":\"" + token + "\"}]" + usage + "}\n\n");
        }
        return events.toString();
    }
}

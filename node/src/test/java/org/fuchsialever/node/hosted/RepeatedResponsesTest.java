package org.fuchsialever.node.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.fuchsialever.platform.ManifestText;
import org.junit.jupiter.api.Test;

class RepeatedResponsesTest {

    /** Guards against results that bear the text of an earlier run, which arrived a second time. */
    @Test
    void listsTheTextOfTheNewRunWhenAnItemThatComesAgainMeetsACopyOfItsEarlierText() {
        try (HostedFixture fixture = new HostedFixture();
                RepeatingEngine engine = new RepeatingEngine()) {
            fixture.mStore.write("op", "config", ManifestText.of(2, HostedFixture.KEY));
            fixture.upstream("p1", "plain");
            engine.register(fixture.mStore, "e1");
            fixture.start("n1");
            fixture.awaitServing("n1");
            fixture.submit("n1", "b1", "x1");
            assertThat(text(fixture, "b1"), is(RepeatingEngine.text("x1", 1)));
            fixture.submit("n1", "b2", "x1");
            assertThat(text(fixture, "b2"), is(RepeatingEngine.text("x1", 2)));
        }
    }

    private static String text(HostedFixture fixture, String batch) {
        return fixture.results("n1", batch, 1).path("results").path(0).path("message").asText();
    }
}

package org.fuchsialever.node.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Guards against calls that hang on a connection that became unresponsive. */
class SilentCallTest extends CallFixture {

    @Override
    protected String silenceLimit() {
        return "300 ms";
    }

    @Test
    void resumesAStreamOnASilentConnectionAndCancelsItsWork() throws Exception {
        first.then(
                (request, response) -> {
                    response.beginStream();
                    response.tokens("a", 0, 3, 1);
                    response.staySilent();
                });
        secondCompletes();

        HttpResponse<String> response = complete(true);

        assertThat(words(response.body()), is(ALL));
        String id = first.requests().get(0).headers().get("X-Request-Id");
        assertThat(first.awaitCancellation(), is("/v1/requests/" + id));
    }

    @Test
    void reportsAnUnknownOutcomeOfASilentService() throws Exception {
        desk.then((request, response) -> response.staySilent());

        HttpResponse<String> response = post("/book", "{}");

        assertThat(response.body(), containsString("\"not_run\":false"));
        assertThat(desk.requests(), hasSize(1));
    }
}

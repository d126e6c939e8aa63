package org.fuchsialever.node.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Guards against calls that hang on a connection that went silent. */
class SilentCallTest extends CallFixture {

    @Override
    protected String silenceLimit() {
        return "300 ms";
    }

    @Test
    void resumesAStreamOnASilentConnectionAndCancelsItsWork() throws Exception {
        first.then(
                (request, reply) -> {
                    reply.beginStream();
                    reply.tokens("a", 0, 3, 1);
                    reply.staySilent();
                });
        secondCompletes();

        HttpResponse<String> answer = complete(true);

        assertThat(words(answer.body()), is(ALL));
        String id = first.requests().get(0).headers().get("X-Request-Id");
        assertThat(first.awaitCancellation(), is("/v1/requests/" + id));
    }

    @Test
    void reportsAnUnknownOutcomeOfASilentService() throws Exception {
        desk.then((request, reply) -> reply.staySilent());

        HttpResponse<String> answer = post("/book", "{}");

        assertThat(answer.body(), containsString("\"not_run\":false"));
        assertThat(desk.requests(), hasSize(1));
    }
}

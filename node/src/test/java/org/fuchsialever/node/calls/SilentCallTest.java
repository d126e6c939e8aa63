package org.fuchsialever.node.calls;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against calls that hang on a connection that became unresponsive. */
class SilentCallTest extends CallFixture {
    private static final Duration RECORDED_WITHIN = Duration.ofSeconds(30);

    @Override
    protected String upstreamTimeout() {
        return "300 ms";
    }

    @Test
    void resumesAStreamOnASilentConnectionAndCancelsItsWork() throws Exception {
        mFirstEngine.then(
                (request, response) -> {
                    response.beginStream();
                    response.tokens("a", 0, 3, 1);
                    response.staySilent();
                });
        scriptSecondEngineToComplete();

        HttpResponse<String> response = postCompletion(true);

        assertThat(concatenatedText(response.body()), is(ALL_TOKENS));
        String id = mFirstEngine.requests().get(0).headers().get("X-Request-Id");
        assertThat(mFirstEngine.awaitCancellation(), is("/v1/requests/" + id));
    }

    @Test
    void reportsAnUnknownOutcomeOfASilentService() throws Exception {
        mPlainService.then((request, response) -> response.staySilent());

        HttpResponse<String> response = post("/book", "{}");

        assertThat(response.body(), containsString("\"not_run\":false"));
        // On a busy machine the call may time out before the service has recorded the request.
        await().atMost(RECORDED_WITHIN).until(() -> !mPlainService.requests().isEmpty());
        assertThat(mPlainService.requests(), hasSize(1));
    }
}

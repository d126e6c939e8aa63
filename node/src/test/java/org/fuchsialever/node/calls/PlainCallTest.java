package org.fuchsialever.node.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Guards against a second run and a false "not run" of requests that may not be repeated. */
class PlainCallTest extends CallFixture {

    @Test
    void reportsAnUnknownOutcomeWhenTheConnectionBreaksBeforeTheFirstByte() throws Exception {
        mPlainService.then((request, response) -> response.disconnect());

        HttpResponse<String> response = post("/book", "{}");

        assertLostAfterOneRun(response, 1);
    }

    @Test
    void abortsTheResponseWhenTheConnectionBreaksAfterTheFirstByte() {
        mPlainService.then(
                (request, response) -> {
                    response.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
                    response.disconnect();
                });

        assertThrows(IOException.class, () -> post("/book", "{}"));
        assertThat(mPlainService.requests(), hasSize(1));
    }

    @Test
    void doesNotSendAgainOnADeadReusedConnection() throws Exception {
        mPlainService
                .then((request, response) -> response.send(200, "booked"))
                .then((request, response) -> response.disconnect())
                .then((request, response) -> response.send(200, "booked twice"));

        assertThat(post("/book", "{}").body(), is("booked"));
        assertLostAfterOneRun(post("/book", "{}"), 2);
    }

    @Test
    void saysNotRunWhenNoConnectionOpens() throws Exception {
        mPlainService.close();

        HttpResponse<String> response = post("/book", "{}");

        assertThat(response.statusCode(), is(503));
        assertThat(response.body(), containsString("\"not_run\":true"));
    }

    @Test
    void retriesAServiceThatSaysNotRun() throws Exception {
        String notRun = "HTTP/1.1 503 x\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
        mPlainService
                .then((request, response) -> response.sendRaw(notRun))
                .then((request, response) -> response.sendRaw(notRun))
                .then((request, response) -> response.sendRaw(notRun))
                .then((request, response) -> response.sendRaw(notRun));

        assertThat(post("/book", "{}").body(), containsString("\"not_run\":true"));
        assertThat(mPlainService.requests(), hasSize(4));
    }

    @Test
    void refusesRequestsThatContainTheSecretOfTheirKey() throws Exception {
        String secret = "0123456789abcdef";
        String[] key = {"Authorization", "Bearer fl_key-1_" + secret};

        assertThat(post("/book", "{\"k\":\"" + secret + "\"}", key).statusCode(), is(400));
        assertThat(post("/book?k=" + secret, "{}", key).statusCode(), is(400));
        assertThat(post("/book?k=%30" + secret.substring(1), "{}", key).statusCode(), is(400));
        assertThat(
                post("/v1/completions", "{\"prompt\":\"\\u0030" + secret.substring(1) + "\"}", key)
                        .body(),
                containsString("malformed-body"));
        assertThat(mPlainService.requests(), hasSize(0));
        assertThat(mFirstEngine.requests(), hasSize(0));
    }

    private void assertLostAfterOneRun(HttpResponse<String> response, int requests) {
        assertThat(response.statusCode(), is(502));
        assertThat(response.body(), containsString("\"code\":\"answer-lost\""));
        assertThat(response.body(), containsString("\"not_run\":false"));
        assertThat(mPlainService.requests(), hasSize(requests));
    }
}

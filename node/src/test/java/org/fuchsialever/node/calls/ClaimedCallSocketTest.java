package org.fuchsialever.node.calls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import org.fuchsialever.standins.FaultMode;
import org.fuchsialever.standins.TableServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a second execution when a caller repeats a request, over sockets. */
class ClaimedCallSocketTest extends CallFixture {
    private static final String[] KEY = {"Idempotency-Key", "booking-1"};

    private final TableServiceStandIn mTables = new TableServiceStandIn();

    @Override
    protected String settings() throws IOException {
        return super.settings()
                        .replace("identity, table-files", "identity, platform, claims, table-files")
                + "[platform]\ntable-service = "
                + mTables.url()
                + "\n";
    }

    @AfterEach
    void stopTables() {
        mTables.close();
    }

    @Test
    void runsARepeatedRequestOnceAndReturnsTheSameResponse() throws Exception {
        mPlainService.then((request, response) -> response.send(201, "booked"));

        assertThat(post("/book", "{}", KEY).body(), is("booked"));
        assertThat(post("/book", "{}", KEY).body(), is("booked"));
        assertThat(post("/book", "{}", KEY).statusCode(), is(201));
        assertThat(mPlainService.requests(), hasSize(1));
    }

    @Test
    void saysNotRunWhenTheTableServiceIsDown() throws Exception {
        mTables.faults().set(FaultMode.DOWN);

        String response = post("/book", "{}", KEY).body();

        assertThat(response, containsString("\"code\":\"claim-unavailable\""));
        assertThat(response, containsString("\"not_run\":true"));
        assertThat(mPlainService.requests(), hasSize(0));
    }

    @Test
    void repeatsAnUnknownOutcomeInsteadOfRunningAgain() throws Exception {
        mPlainService
                .then((request, response) -> response.disconnect())
                .then((request, response) -> response.send(200, "booked twice"));

        assertThat(post("/book", "{}", KEY).body(), containsString("answer-lost"));
        assertThat(post("/book", "{}", KEY).body(), containsString("answer-lost"));
        assertThat(mPlainService.requests(), hasSize(1));
    }
}

package org.fuchsialever.node.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.UpstreamStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Submissions on a route that their owner has not learned of yet, because a read hangs. */
class AwaitedRouteTest {
    private static final String DECLARATIONS = "op";

    private final HostedFixture mFixture = HostedFixture.running();

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against whole submissions that are listed as errored by an owner with old routes. */
    @Test
    void runOnceTheOwnerHasReadTheManifest() {
        mFixture.mStore.silenceReads(DECLARATIONS);
        declare("/new/");
        submitElsewhere();
        awaitOwner();
        mFixture.mStore.respondToReads(DECLARATIONS);
        JsonNode result = result();
        assertThat(result.path("state").asText(), is("completed"));
        assertThat(result.path("message").asText(), is(UpstreamStandIn.text("x1")));
    }

    @Test
    void areGivenUpOnceTheManifestShowsThatTheRouteHasEnded() {
        mFixture.mStore.silenceReads(DECLARATIONS);
        declare("/other/");
        submitElsewhere();
        awaitOwner();
        mFixture.mStore.respondToReads(DECLARATIONS);
        assertThat(result().path("state").asText(), is("errored"));
    }

    /** Adds a route for submissions to the one that the instance knows. */
    private void declare(String prefix) {
        String manifest = ManifestText.of(3, HostedFixture.KEY);
        int begin = manifest.indexOf("{\"name\":\"rollout\"");
        String route = manifest.substring(begin, manifest.indexOf("],\"services\""));
        mFixture.mStore.write(
                DECLARATIONS,
                "config",
                manifest.replace(route, route + "," + route.replace("/rollout/", prefix)));
    }

    /** Writes what an instance writes that accepts a submission and ends at once. */
    private void submitElsewhere() {
        mFixture.mStore.writeObject(
                "batch-b1", HostedFixture.submission("x1").replace("/rollout/", "/new/"));
        mFixture.mStore.write(
                "batches",
                "b1",
                "{\"id\":\"b1\",\"team\":\"team\",\"host\":\""
                        + ManifestText.HOST
                        + "\",\"path\":\"/new/b1\",\"total\":1,\"listed\":0,\"submitted\":"
                        + TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
                        + ",\"owner\":\"ended\",\"start\":\"s\",\"epoch\":1,\"ended\":false,"
                        + "\"model\":\"m\",\"minVersion\":1,\"copy\":0}");
    }

    private void awaitOwner() {
        mFixture.eventually(
                () -> {
                    String row = mFixture.mStore.read("batches", "b1");
                    return row != null && row.contains("\"owner\":\"n1\"");
                });
    }

    private JsonNode result() {
        return mFixture.results("n1", "b1", 1).path("results").path(0);
    }
}

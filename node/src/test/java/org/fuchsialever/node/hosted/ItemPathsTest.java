package org.fuchsialever.node.hosted;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.UnaryOperator;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Items whose path has no route of its own run on the route of their submission. */
class ItemPathsTest {
    private static final String ROLLOUT = "{\"name\":\"rollout\"";
    private static final String ENGINES = "{\"name\":\"engines\"";
    private static final UnaryOperator<String> LONGER_TIMEOUTS =
            manifest -> manifest.replace("\"timeoutMs\":3000", "\"timeoutMs\":3200");

    private final HostedFixture mFixture = HostedFixture.running();

    /** The engine begins texts that only another one can complete. */
    @BeforeEach
    void stallTheFirstEngine() {
        mFixture.upstream("e1").setBehaviour(Behaviour.STALLS_STREAMS);
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Guards against running items that are given up because a manifest arrives. */
    @Test
    void goOnThroughAChangeOfTimeouts() {
        submitAndAwaitRun();
        changeManifest("n1", 3, LONGER_TIMEOUTS);
        mFixture.upstream("e2", "engines");
        assertCompleted("n1");
    }

    @Test
    void goOnThroughANewRouteForOtherPaths() {
        submitAndAwaitRun();
        changeManifest("n1", 3, manifest -> withRoute(manifest, "/new/", "rollout", "engines"));
        mFixture.upstream("e2", "engines");
        assertCompleted("n1");
    }

    /** Guards against items that are sent where calls of other kinds on their path run. */
    @Test
    void goOnThroughARouteForOtherCallsOnTheirPath() {
        submitAndAwaitRun();
        changeManifest("n1", 3, manifest -> withRoute(manifest, "/v1/", "safe", "plain"));
        mFixture.upstream("e2", "engines");
        assertCompleted("n1");
        assertThat(mFixture.upstream("p1").executionCount("x1"), is(0));
    }

    @Test
    void startOnTheRouteOfTheirSubmissionBesideARouteForOtherCalls() {
        changeManifest("n1", 3, manifest -> withRoute(manifest, "/v1/", "safe", "plain"));
        mFixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
        submit();
        assertCompleted("n1");
        assertThat(mFixture.upstream("p1").executionCount("x1"), is(0));
    }

    @Test
    void moveWithTheRouteOfTheirSubmission() {
        submitAndAwaitRun();
        mFixture.upstream("e2", "engines2");
        changeManifest("n1", 3, ItemPathsTest::moved);
        assertCompleted("n1");
        assertThat(mFixture.upstream("e2").executionCount("x1"), is(1));
    }

    @Test
    void returnToTheRouteOfTheirSubmissionWhenTheirOwnOneEnds() {
        mFixture.upstream("e2", "engines2").setBehaviour(Behaviour.STALLS_STREAMS);
        mFixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
        changeManifest(
                "n1",
                3,
                manifest -> withRoute(withSecondService(manifest), "/v1/", "rollout", "engines2"));
        submit();
        mFixture.eventually(() -> mFixture.upstream("e2").executionCount("x1") == 1);
        changeManifest("n1", 4, ItemPathsTest::withSecondService);
        assertCompleted("n1");
    }

    /** Guards against items that are given up because a manifest has no route for their scorer. */
    @Test
    void waitForTheRouteOfTheirScoringCall() {
        changeManifest("n1", 3, manifest -> manifest.replace("\"/score/\"", "\"/other/\""));
        mFixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
        submitAndAwaitRun();
        changeManifest("n1", 4, manifest -> manifest);
        assertCompleted("n1");
    }

    @Test
    void goOnWhenTheRouteOfTheirScoringCallEndsAndReturns() {
        mFixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
        mFixture.upstream("p1").setBehaviour(Behaviour.UNRESPONSIVE);
        submit();
        mFixture.eventually(() -> mFixture.upstream("p1").executionCount("s-x1") == 1);
        changeManifest("n1", 3, manifest -> manifest.replace("\"/score/\"", "\"/other/\""));
        mFixture.upstream("p1").setBehaviour(Behaviour.HEALTHY);
        changeManifest("n1", 4, manifest -> manifest);
        assertCompleted("n1");
    }

    @Test
    void areGivenUpWhenTheRouteOfTheirSubmissionEnds() {
        submitAndAwaitRun();
        changeManifest("n1", 3, manifest -> manifest.replace("\"/rollout/\"", "\"/other/\""));
        assertThat(result("n1").path("state").asText(), is("errored"));
    }

    /** Guards against items that are given up by the instance that takes their submission over. */
    @Test
    void goOnThroughAChangeAfterATakeover() {
        mFixture.start("n2");
        mFixture.awaitServing("n2");
        mFixture.awaitReady("n2");
        submitAndAwaitRun();
        mFixture.upstream("e1").setBehaviour(Behaviour.REFUSES_CALLS);
        mFixture.stop("n1");
        mFixture.eventually(
                () -> {
                    String row = mFixture.mStore.read("batches", "b1");
                    return row != null && row.contains("\"owner\":\"n2\"");
                });
        int runs = mFixture.upstream("e1").executionCount("x1");
        mFixture.upstream("e1").setBehaviour(Behaviour.STALLS_STREAMS);
        mFixture.eventually(() -> mFixture.upstream("e1").executionCount("x1") > runs);
        changeManifest("n2", 3, LONGER_TIMEOUTS);
        mFixture.upstream("e2", "engines");
        assertCompleted("n2");
    }

    private void submitAndAwaitRun() {
        submit();
        mFixture.eventually(() -> mFixture.upstream("e1").executionCount("x1") > 0);
    }

    private void submit() {
        String submission =
                HostedFixture.submission("x1")
                        .replace("\"path\":\"/rollout/", "\"path\":\"/v1/completions/");
        int status =
                mFixture.call("n1", "POST", "/rollout/b1", "b1", HostedFixture.KEY, submission)
                        .status();
        assertThat(status, is(202));
    }

    private void changeManifest(String instance, long version, UnaryOperator<String> change) {
        String manifest = ManifestText.of(version, HostedFixture.KEY);
        mFixture.mStore.write("op", "config", change.apply(manifest));
        mFixture.awaitManifest(instance, version);
    }

    private void assertCompleted(String instance) {
        JsonNode result = result(instance);
        assertThat(result.path("state").asText(), is("completed"));
        assertThat(result.path("message").asText(), is(UpstreamStandIn.text("x1")));
    }

    private JsonNode result(String instance) {
        return mFixture.results(instance, "b1", 1).path("results").path(0);
    }

    private static String withRoute(String manifest, String prefix, String kind, String service) {
        String route =
                manifest.substring(manifest.indexOf(ROLLOUT), manifest.indexOf("],\"services\""))
                        .replace("\"name\":\"rollout\"", "\"name\":\"added\"")
                        .replace("\"/rollout/\"", "\"" + prefix + "\"")
                        .replace("\"kind\":\"rollout\"", "\"kind\":\"" + kind + "\"")
                        .replace("\"service\":\"engines\"", "\"service\":\"" + service + "\"");
        return manifest.replace(ROLLOUT, route + "," + ROLLOUT);
    }

    private static String withSecondService(String manifest) {
        String services = manifest.substring(manifest.indexOf(ENGINES));
        String engines = services.substring(0, services.indexOf("],\"limits\""));
        return manifest.replace(
                engines, engines + "," + engines.replace("\"engines\"", "\"engines2\""));
    }

    private static String moved(String manifest) {
        String extended = withSecondService(manifest);
        int rollout = extended.indexOf(ROLLOUT);
        return extended.substring(0, rollout)
                + extended.substring(rollout)
                        .replaceFirst("\"service\":\"engines\"", "\"service\":\"engines2\"");
    }
}

package org.fuchsialever.node.hosted;

import static org.fuchsialever.node.hosted.HostedFixture.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.stream.IntStream;
import org.fuchsialever.platform.CallerStandIn.Response;
import org.fuchsialever.platform.InstanceSettings;
import org.fuchsialever.platform.ManifestText;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.fuchsialever.platform.UpstreamStandIn.ReceivedCall;
import org.junit.jupiter.api.Test;

class HostedCallsTest {

    @Test
    void servesACallAndHidesTheCallersKeyFromTheUpstream() {
        try (HostedFixture fixture = HostedFixture.running()) {
            Response response = fixture.call("n1", "POST", "/safe/x", "r1", KEY, "hello");
            assertThat(response.status(), is(200));
            assertThat(response.body(), is("body of r1"));
            assertThat(response.headers().get("Response-Stamp"), is("stamp-r1"));
            ReceivedCall seen = last(fixture.upstream("p1"));
            assertThat(seen.body(), is("hello"));
            assertThat(seen.headers(), not(hasKey("Authorization")));
            assertThat(seen.headers().get("Tenant"), is("team"));
            assertThat(seen.headers().get("Expect-Instance"), is("p1"));
        }
    }

    @Test
    void refusesUnknownKeysAndRoutesWithoutRunningAnything() {
        try (HostedFixture fixture = HostedFixture.running()) {
            assertThat(fixture.call("n1", "GET", "/safe/x", "r1", "bad", "").status(), is(401));
            assertThat(fixture.call("n1", "GET", "/safe/x", "r2", "", "").status(), is(401));
            assertThat(fixture.call("n1", "GET", "/none/x", "r3", KEY, "").status(), is(404));
            assertThat(fixture.upstream("p1").executionCount("r1"), is(0));
        }
    }

    @Test
    void saysThatItCanNotServeYetWhileItKnowsNoManifest() {
        try (HostedFixture fixture = new HostedFixture()) {
            fixture.start("n1");
            Response response = fixture.call("n1", "GET", "/safe/x", "r1", KEY, "");
            assertThat(response.status(), is(503));
            assertThat(response.headers(), hasKey("Retry-After"));
        }
    }

    @Test
    void runsASafeCallElsewhereWhenItsAnswerIsLost() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("p1").setBehaviour(Behaviour.DROPS_RESPONSES);
            fixture.upstream("p2", "plain");
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status() == 200);
        }
    }

    @Test
    void runsAnUnsafeCallOnceAndPromisesNothingWhenItsAnswerIsLost() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("p1").setBehaviour(Behaviour.DROPS_RESPONSES);
            Response response = fixture.call("n1", "POST", "/unsafe/x", "r1", KEY, "");
            assertThat(response.status(), is(502));
            assertThat(fixture.upstream("p1").executionCount("r1"), is(1));
        }
    }

    @Test
    void saysNotRunAndWhenToReturnWhenTheUpstreamRefuses() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("p1").setBehaviour(Behaviour.REFUSES_CALLS);
            Response response = fixture.call("n1", "POST", "/unsafe/x", "r1", KEY, "");
            assertThat(response.status(), is(503));
            assertThat(response.headers(), hasKey("Retry-After"));
            assertThat(fixture.upstream("p1").executionCount("r1"), is(0));
        }
    }

    @Test
    void answersACallAtTheTimeoutOfItsRouteWhenTheUpstreamIsMute() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("p1").setBehaviour(Behaviour.UNRESPONSIVE);
            Response response = fixture.call("n1", "POST", "/unsafe/x", "r1", KEY, "");
            assertThat(response.status(), is(504));
            assertThat(response.body(), containsString("LATE"));
        }
    }

    @Test
    void refusesABodyAboveTheLimitOfTheManifest() {
        try (HostedFixture fixture = HostedFixture.running()) {
            String large = "x".repeat(100_001);
            assertThat(fixture.call("n1", "POST", "/safe/x", "r1", KEY, large).status(), is(413));
        }
    }

    @Test
    void takesANewManifestAndStopsAWithdrawnKey() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.mStore.write("op", "config", ManifestText.of(3, "key-2"));
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status() == 401);
            assertThat(fixture.call("n1", "GET", "/safe/x", "r2", "key-2", "").status(), is(200));
        }
    }

    @Test
    void neverGoesBackToAnOlderManifest() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.mStore.write("op", "config", ManifestText.of(1, "key-0"));
            fixture.mStore.write("servers", "p9", "garbage");
            // The unreadable entry is read after the manifest and must not stop the feed either.
            fixture.upstream("p2", "plain");
            fixture.upstream("p1").setBehaviour(Behaviour.REFUSES_CALLS);
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status() == 200);
            assertThat(fixture.call("n1", "GET", "/safe/x", "r2", "key-0", "").status(), is(401));
        }
    }

    /** Guards against an odd row after which an instance ends or no longer follows the table. */
    @Test
    void followsTheListOfUpstreamsBesideRowsOfAnotherWriter() {
        try (HostedFixture fixture = HostedFixture.running()) {
            String depth = "[".repeat(5_000);
            fixture.mStore.write("servers", "o1", "{\"address\":" + depth);
            fixture.mStore.write("servers", "o2", oddRow("127.0.0.1:99999", "8"));
            fixture.mStore.write("servers", "o3", oddRow("no-such-host.invalid:80", "8"));
            fixture.mStore.write("servers", "o4", oddRow("127.0.0.1:1", "9".repeat(40)));
            fixture.mStore.write("servers", "o 5\u00e4", oddRow("127.0.0.1:1", "8"));
            fixture.upstream("p2", "plain");
            fixture.upstream("p1").register(fixture.mStore, "draining");
            for (int call = 0; call < 20; call++) {
                fixture.call("n1", "GET", "/safe/x", "r" + call, KEY, "");
            }
            fixture.eventually(
                    () -> {
                        fixture.call("n1", "GET", "/safe/x", "last", KEY, "");
                        return fixture.upstream("p2").executionCount("last") > 0;
                    });
        }
    }

    private static String oddRow(String address, String slots) {
        return "{\"service\":\"plain\",\"address\":\""
                + address
                + "\",\"zone\":\"z\",\"slots\":"
                + slots
                + ",\"state\":\"ready\",\"seq\":1,\"born\":1}";
    }

    @Test
    void servesOnWhileTheStoreIsSilentAndLearnsWhatItMissed() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.mStore.setMode(StoreStandIn.Mode.UNRESPONSIVE);
            assertThat(fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status(), is(200));
            fixture.mStore.write("op", "config", ManifestText.of(3, "key-2"));
            fixture.mStore.discardHistory();
            fixture.mStore.setMode(StoreStandIn.Mode.UP);
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r2", "key-2", "").status() == 200);
        }
    }

    /** Guards against calls to an upstream that is gone before the list of upstreams shows it. */
    @Test
    void leavesAnUpstreamThatAnnouncesItsLeavingThoughTheStoreIsSilent() {
        try (HostedFixture fixture = HostedFixture.running()) {
            UpstreamStandIn second = fixture.upstream("p2", "plain");
            fixture.upstream("p1").setBehaviour(Behaviour.REFUSES_CALLS);
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status() == 200);
            // The upstream that was used last is chosen again among equals.
            fixture.upstream("p1").setBehaviour(Behaviour.HEALTHY);
            fixture.mStore.setMode(StoreStandIn.Mode.UNRESPONSIVE);
            second.setBehaviour(Behaviour.ANNOUNCES_LEAVING);
            fixture.eventually(
                    () ->
                            fixture.call("n1", "GET", "/safe/x", "r2", KEY, "")
                                    .headers()
                                    .containsKey("Server-Leaving"));
            // The first upstream had refused calls and has room again.
            fixture.eventually(
                    () -> {
                        fixture.call("n1", "GET", "/safe/x", "r3", KEY, "");
                        return fixture.upstream("p1").executionCount("r3") > 0;
                    });
            for (int call = 0; call < 20; call++) {
                assertThat(
                        fixture.call("n1", "GET", "/safe/x", "later", KEY, "").status(), is(200));
            }
            assertThat(second.executionCount("later"), is(0));
        }
    }

    /** The load policy stays with the upstream that was used last while all are idle. */
    @Test
    void spreadsCallsOverIdleUpstreamsOnceTheyReportTheirSlowdown() {
        try (HostedFixture fixture = HostedFixture.running()) {
            for (int number = 2; number <= 4; number++) {
                fixture.upstream("p" + number, "plain");
            }
            for (int number = 1; number <= 4; number++) {
                fixture.upstream("p" + number).reportLoad("1,0,8,100");
            }
            fixture.eventually(
                    () -> {
                        fixture.call("n1", "GET", "/safe/x", "spread", KEY, "");
                        return IntStream.rangeClosed(1, 4)
                                .allMatch(
                                        number ->
                                                fixture.upstream("p" + number)
                                                                .executionCount("spread")
                                                        > 1);
                    });
        }
    }

    /** Guards against refusals while the only upstream serves, and against calls after that. */
    @Test
    void refusesCallsOnlyOnceTheTimeOfTheLastLeavingUpstreamIsOver() {
        try (HostedFixture fixture = HostedFixture.running()) {
            UpstreamStandIn only = fixture.upstream("p1");
            only.setBehaviour(Behaviour.ANNOUNCES_LEAVING);
            assertThat(fixture.call("n1", "GET", "/safe/x", "r1", KEY, "").status(), is(200));
            long announcedNanos = System.nanoTime();
            fixture.eventually(
                    () -> fixture.call("n1", "GET", "/safe/x", "r2", KEY, "").status() == 503);
            assertThat(only.executionCount("r2") > 0, is(true));
            for (int call = 0; call < 5; call++) {
                fixture.call("n1", "GET", "/safe/x", "later", KEY, "");
            }
            assertThat(only.executionCount("later"), is(0));
            assertThat(
                    System.nanoTime() - announcedNanos > InstanceSettings.LEAVING_PERIOD.toNanos(),
                    is(true));
        }
    }

    @Test
    void sendsNothingToAnUpstreamThatIsLeaving() {
        try (HostedFixture fixture = HostedFixture.running()) {
            UpstreamStandIn second = fixture.upstream("p2", "plain");
            fixture.upstream("p1").register(fixture.mStore, "draining");
            fixture.eventually(
                    () -> {
                        fixture.call("n1", "GET", "/safe/x", "r1", KEY, "");
                        return second.executionCount("r1") > 0;
                    });
            int before = fixture.upstream("p1").calls().size();
            for (int call = 0; call < 5; call++) {
                fixture.call("n1", "GET", "/safe/x", "r2", KEY, "");
            }
            assertThat(fixture.upstream("p1").calls().size(), is(before));
        }
    }

    /** Guards against an upstream that stays in the list because it wrote its row just before. */
    @Test
    void sendsNothingToAnUpstreamThatWritesItsRowAndIsRemovedBetweenTwoReads() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.mStore.silenceReads("servers");
            fixture.upstream("p1").register(fixture.mStore, "ready");
            fixture.upstream("p1").unregister(fixture.mStore);
            fixture.upstream("p2", "plain");
            fixture.mStore.respondToReads("servers");
            fixture.eventually(() -> fixture.upstreams("n1").contains("p2"));
            assertThat(fixture.upstreams("n1"), containsInAnyOrder("p2", "e1"));
            for (int call = 0; call < 5; call++) {
                fixture.call("n1", "GET", "/safe/x", "later", KEY, "");
            }
            assertThat(fixture.upstream("p1").executionCount("later"), is(0));
        }
    }

    private static ReceivedCall last(UpstreamStandIn upstream) {
        return upstream.calls().get(upstream.calls().size() - 1);
    }
}

package org.fuchsialever.decisions.manifest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class ManifestTest {
    private final Manifest mManifest =
            new Manifest(
                    3,
                    List.of(
                            route("short", "/a/"),
                            route("long", "/a/b/"),
                            route("items", "/items/", RequestKind.ROLLOUT),
                            route("other-items", "/other/", RequestKind.ROLLOUT)),
                    List.of(),
                    List.of(
                            new TeamKeys("team", List.of("k1", "k2"), 3),
                            new TeamKeys("plain", List.of("k4"), -1)),
                    new RequestLimits(1, 1, 1, 1));

    @Test
    void picksTheRouteWithTheLongestPrefix() {
        assertThat(mManifest.route("h", "/a/b/c").map(ForwardRoute::name).get(), is("long"));
        assertThat(mManifest.route("h", "/a/bc").map(ForwardRoute::name).get(), is("short"));
    }

    @Test
    void knowsNoRouteOfAnotherHostOrPath() {
        assertThat(mManifest.route("other", "/a/b/").isEmpty(), is(true));
        assertThat(mManifest.route("h", "/a").isEmpty(), is(true));
    }

    /** Guards against items that are given up because their path has no route of its own. */
    @Test
    void routesAnItemByItsPathOrElseByThatOfItsSubmission() {
        assertThat(itemRoute("/other/x"), is("other-items"));
        assertThat(itemRoute("/v1/x"), is("items"));
        assertThat(mManifest.itemRoute("h", "/v1/x", "/v1/b").isEmpty(), is(true));
    }

    /** Guards against items that are sent to upstreams of plain calls. */
    @Test
    void routesNoItemByARouteForCallsOfAnotherKind() {
        assertThat(itemRoute("/a/x"), is("items"));
    }

    private String itemRoute(String path) {
        return mManifest.itemRoute("h", path, "/items/b").map(ForwardRoute::name).get();
    }

    @Test
    void findsTheTeamOfEachOfItsKeys() {
        assertThat(mManifest.teamOf("k2").get(), is("team"));
        assertThat(mManifest.teamOf("k3").isEmpty(), is(true));
    }

    @Test
    void ranksCallsByThePriorityOfTheTeamBeforeThatOfTheRoute() {
        ForwardRoute route = mManifest.route("h", "/a/b/c").get();
        assertThat(mManifest.rank(route, "team"), is(3));
        assertThat(mManifest.rank(route, "plain"), is(route.priority()));
        assertThat(mManifest.rank(route, ""), is(route.priority()));
    }

    private static ForwardRoute route(String name, String prefix) {
        return SampleManifests.route(name, prefix, RequestKind.SAFE, 0);
    }

    private static ForwardRoute route(String name, String prefix, RequestKind kind) {
        return SampleManifests.route(name, prefix, kind, 0);
    }
}

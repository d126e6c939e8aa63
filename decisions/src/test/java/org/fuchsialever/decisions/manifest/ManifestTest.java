package org.fuchsialever.decisions.manifest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class ManifestTest {
    private final Manifest mManifest =
            new Manifest(
                    3,
                    List.of(route("short", "/a/"), route("long", "/a/b/")),
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
        return new ForwardRoute(
                name,
                "h",
                prefix,
                RequestKind.SAFE,
                List.of(new ServiceShare("s", 1)),
                1,
                1,
                0,
                1,
                true,
                false,
                false,
                0,
                0);
    }
}

package org.fuchsialever.decisions.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.findings.Findings;
import org.junit.jupiter.api.Test;

class TableParserTest {
    private static final String POOLS =
            """
            [pool small]
            kind = engine
            [upstream e1]
            pool = small
            address = 127.0.0.1
            port = 9001
            failure-domain = fd-1
            """;

    private final Findings mFindings = new Findings();

    @Test
    void joinsRoutesAndPoolsByName() {
        Option<ConfigSnapshot> snapshot =
                parse(
                        """
                        [team alba]
                        weight = 3
                        [route chat]
                        path = /v1/chat/completions
                        pool = small
                        teams = all
                        """,
                        POOLS);

        assertThat(mFindings.report(), snapshot.isDefined(), is(true));
        Route route = snapshot.get().routeFor("/v1/chat/completions").get();
        assertThat(snapshot.get().pools().containsKey(route.pool()), is(true));
        assertThat(route.repeatable(), is(false));
    }

    @Test
    void reportsAllProblemsOfBothTablesTogetherWithTheirLines() {
        parse(
                """
                [route chat]
                path = /chat
                pool = large
                teams = nobody
                deadline = 5 parsecs
                colour = red
                """,
                POOLS.replace("9001", "99999999"));

        List<String> problems =
                mFindings.list().stream()
                        .map(finding -> finding.messageKey() + ":" + finding.location().line())
                        .toList();
        assertThat(
                problems,
                containsInAnyOrder(
                        "settings.out-of-range:6",
                        "route.unknown-team:4",
                        "settings.bad-duration:5",
                        "settings.unknown-key:6",
                        "route.unknown-pool:3",
                        "pool.unused:1"));
    }

    @Test
    void refusesAHostNameAsAddress() {
        parse(
                "[route chat]\npath = /chat\npool = small\naccess = open\n",
                POOLS.replace("127.0.0.1", "engine.example"));

        assertThat(messageKeys(), contains("upstream.bad-address"));
    }

    @Test
    void refusesTwoSectionsOfTheSameName() {
        parse(
                "[route chat]\npath = /chat\npool = small\naccess = open\n",
                POOLS + "[pool small]\nkind = plain\n");

        assertThat(messageKeys().contains("ini.duplicate-section"), is(true));
    }

    private List<String> messageKeys() {
        return mFindings.list().stream().map(Finding::messageKey).toList();
    }

    private Option<ConfigSnapshot> parse(String routes, String pools) {
        return TableParser.parse(1, "routes.ini", routes, "pools.ini", pools, mFindings);
    }
}

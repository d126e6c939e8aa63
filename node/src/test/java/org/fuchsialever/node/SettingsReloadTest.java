package org.fuchsialever.node;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;
import org.fuchsialever.node.trace.TraceLog;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    private final Findings mFindings = new Findings();
    private final SettingsReload mReload =
            new SettingsReload("node.ini", "[node]\nname = a\nregion = r\n", text -> mFindings);

    @Test
    void namesTheKeysThatHaveChanged() {
        assertThat(
                mReload.report("[node]\nname = b\n[entry]\nlinger = 1 s\n"),
                is(List.of("node/name", "entry/linger", "node/region")));
    }

    /** Guards against a setting that keeps an instance from starting and is only seen then. */
    @Test
    void logsSettingsWithWhichNoInstanceWouldStart() throws InterruptedException {
        mFindings.error(Location.ofKey("entry/grace"), "settings.bad-duration", "no duration");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (TraceLog log = new TraceLog(new PrintStream(output), new SimpleMeterRegistry())) {
            mReload.logTo(Option.some(log));
            mReload.report("[node]\nname = b\nregion = r\n");
        }
        assertThat(
                output.toString(UTF_8),
                allOf(
                        containsString("\"outcome\":\"changed\",\"details\":\"node/name\""),
                        containsString("\"outcome\":\"would-not-start\""),
                        containsString("entry/grace")));
    }

    @Test
    void findsProblemsOfEachComponentWithoutStartingIt() {
        String text =
                "[node]\ncomponents = platform\n[platform]\nadapter = http\n"
                        + "table-service = http://127.0.0.1:1\nrequest-timeout = %s\n";
        assertThat(keys(NodeProcess.check("node.ini", text.formatted("2.5 s"))), is(empty()));
        assertThat(
                keys(NodeProcess.check("node.ini", text.formatted("soon"))),
                is(List.of("settings.bad-duration")));
    }

    private static List<String> keys(Findings findings) {
        return findings.list().stream()
                .map(Finding::messageKey)
                .filter(key -> key.startsWith("settings."))
                .toList();
    }

    @Test
    void keepsTheSettingsInForceWhenTheFileCannotBeUsed() {
        assertThat(mReload.report("[node]\nno separator\n"), is(empty()));
    }
}

package org.fuchsialever.kernel.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import org.fuchsialever.kernel.findings.Findings;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final String VARIABLE = "FUCHSIALEVER_FORWARD_LEAVING_PERIOD";

    private final Findings mFindings = new Findings();

    /** Guards against a limit of the platform that an instance does not learn. */
    @Test
    void prefersAValueOfTheEnvironment() {
        assertThat(leavingPeriod(Map.of(VARIABLE, " 3 s ")), is(Duration.ofSeconds(3)));
        assertThat(leavingPeriod(Map.of()), is(Duration.ofSeconds(1)));
        assertThat(mFindings.hasErrors(), is(false));
    }

    @Test
    void reportsAValueOfTheEnvironmentThatCannotBeRead() {
        assertThat(leavingPeriod(Map.of(VARIABLE, "soon")), is(Duration.ofSeconds(9)));
        assertThat(mFindings.hasErrors(), is(true));
    }

    private Duration leavingPeriod(Map<String, String> environment) {
        IniDocument document =
                IniDocument.parse("node.ini", "[forward]\nleaving-period = 1 s\n", mFindings);
        return new SettingsReader(document, mFindings, environment)
                .duration("forward", "leaving-period", Duration.ofSeconds(9));
    }
}

package org.fuchsialever.node.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.junit.jupiter.api.Test;

class VersionComponentTest {
    @Test
    void takesEachAssignmentOfEnginesOrNone() {
        assertThat(isAccepted(""), is(true));
        assertThat(isAccepted("[versions]\nassignment = auto\n"), is(true));
        assertThat(isAccepted("[versions]\nassignment = need\n"), is(true));
        assertThat(isAccepted("[versions]\nassignment = equal\n"), is(true));
    }

    @Test
    void refusesAnAssignmentThatDoesNotExist() {
        assertThat(isAccepted("[versions]\nassignment = fair\n"), is(false));
    }

    private static boolean isAccepted(String settings) {
        Findings findings = new Findings();
        SettingsReader reader =
                new SettingsReader(IniDocument.parse("node.ini", settings, findings), findings);
        new VersionComponent().configure(reader);
        return !findings.hasErrors();
    }
}

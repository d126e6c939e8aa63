package org.fuchsialever.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsReloadTest {
    private final SettingsReload mReload =
            new SettingsReload("node.ini", "[node]\nname = a\nregion = r\n");

    @Test
    void namesTheKeysThatHaveChanged() {
        assertThat(
                mReload.report("[node]\nname = b\n[entry]\nlinger = 1 s\n"),
                is(List.of("node/name", "entry/linger", "node/region")));
    }

    @Test
    void keepsTheSettingsInForceWhenTheFileCannotBeUsed() {
        assertThat(mReload.report("[node]\nno separator\n"), is(empty()));
    }
}

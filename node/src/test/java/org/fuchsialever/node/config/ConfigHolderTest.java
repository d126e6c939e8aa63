package org.fuchsialever.node.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.kernel.invariant.Invariant;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that reverts to an earlier version. */
class ConfigHolderTest {
    private final List<Invariant> mViolated = new ArrayList<>();
    private final ConfigHolder mHolder =
            new ConfigHolder((invariant, detail) -> mViolated.add(invariant));

    @Test
    void reportsAndIgnoresAnEarlierVersion() {
        mHolder.publish(snapshot(2));
        assertThat(mViolated, empty());

        mHolder.publish(snapshot(1));

        assertThat(mViolated, contains(Invariant.CONFIGURATION_MONOTONIC));
        assertThat(mHolder.current().map(ConfigSnapshot::version), is(Option.some(2L)));
    }

    private static ConfigSnapshot snapshot(long version) {
        return new ConfigSnapshot(version, Map.of(), Map.of(), Map.of());
    }
}

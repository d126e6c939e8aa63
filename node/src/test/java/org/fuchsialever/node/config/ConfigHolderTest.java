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
    private final List<Invariant> violated = new ArrayList<>();
    private final ConfigHolder holder =
            new ConfigHolder((invariant, detail) -> violated.add(invariant));

    @Test
    void reportsAndIgnoresAnEarlierVersion() {
        holder.publish(snapshot(2));
        assertThat(violated, empty());

        holder.publish(snapshot(1));

        assertThat(violated, contains(Invariant.CONFIGURATION_MONOTONIC));
        assertThat(holder.current().map(ConfigSnapshot::version), is(Option.some(2L)));
    }

    private static ConfigSnapshot snapshot(long version) {
        return new ConfigSnapshot(version, Map.of(), Map.of(), Map.of());
    }
}

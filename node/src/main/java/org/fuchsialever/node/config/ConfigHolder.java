package org.fuchsialever.node.config;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.ConfigStatus;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.jspecify.annotations.Nullable;

/** The configuration in force on this instance. */
public final class ConfigHolder {
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final InvariantMonitor invariants;
    private volatile @Nullable ConfigSnapshot current;
    private volatile @Nullable ConfigStatus status;

    /** Creates a holder without a configuration. */
    public ConfigHolder(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /** Returns the configuration, or none if this instance has not learnt one yet. */
    public Option<ConfigSnapshot> current() {
        return Option.of(current);
    }

    /**
     * Returns how the configuration stands. A snapshot that was published without a status counts
     * as the latest, because its source has no versions.
     */
    public ConfigStatus status() {
        ConfigStatus reported = status;
        ConfigSnapshot snapshot = current;
        if (reported != null || snapshot == null) {
            return reported == null ? ConfigStatus.NONE : reported;
        }
        long version = snapshot.version();
        return new ConfigStatus(version, version, ConfigStatus.Freshness.PROVEN, true);
    }

    /** Sets how the configuration stands. */
    public void publishStatus(ConfigStatus newStatus) {
        status = newStatus;
    }

    /** Adds a listener; it is called at once if there is a configuration. */
    public synchronized void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
        current().forEach(listener);
    }

    /** Puts a snapshot in force; an older one than the present is a violation and is ignored. */
    public synchronized void publish(ConfigSnapshot snapshot) {
        ConfigSnapshot earlier = current;
        if (earlier != null && snapshot.version() < earlier.version()) {
            invariants.reportViolation(
                    Invariant.CONFIGURATION_MONOTONIC,
                    "version " + snapshot.version() + " after " + earlier.version());
            return;
        }
        current = snapshot;
        listeners.forEach(listener -> listener.accept(snapshot));
    }
}

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

/** Holds the configuration in force on this instance and its status. */
public final class ConfigHolder {
    private final List<Consumer<ConfigSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final InvariantMonitor invariants;
    private volatile @Nullable ConfigSnapshot current;
    private volatile @Nullable ConfigStatus status;

    /** Creates a holder without a configuration. */
    public ConfigHolder(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /** Returns the configuration, or none before the first one is published. */
    public Option<ConfigSnapshot> current() {
        return Option.of(current);
    }

    /**
     * Returns the status of the configuration. A snapshot that was published without a status
     * counts as the latest, because its source has no versions.
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

    /** Sets the status of the configuration. */
    public void publishStatus(ConfigStatus newStatus) {
        status = newStatus;
    }

    /** Adds a listener, which is called immediately if there is a configuration. */
    public synchronized void addListener(Consumer<ConfigSnapshot> listener) {
        listeners.add(listener);
        current().forEach(listener);
    }

    /** Puts a snapshot in force; one older than the current one is a violation and is ignored. */
    public synchronized void publish(ConfigSnapshot snapshot) {
        ConfigSnapshot previous = current;
        if (previous != null && snapshot.version() < previous.version()) {
            invariants.reportViolation(
                    Invariant.CONFIGURATION_MONOTONIC,
                    "version " + snapshot.version() + " after " + previous.version());
            return;
        }
        current = snapshot;
        listeners.forEach(listener -> listener.accept(snapshot));
    }
}

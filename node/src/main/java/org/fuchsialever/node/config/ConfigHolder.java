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
    private final List<Consumer<ConfigSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private final InvariantMonitor mInvariants;
    private volatile @Nullable ConfigSnapshot mCurrent;
    private volatile @Nullable ConfigStatus mStatus;

    /** Creates a holder without a configuration. */
    public ConfigHolder(InvariantMonitor invariants) {
        mInvariants = invariants;
    }

    /** Returns the configuration, or none before the first one is published. */
    public Option<ConfigSnapshot> current() {
        return Option.of(mCurrent);
    }

    /**
     * Returns the status of the configuration. A snapshot that was published without a status
     * counts as the latest, because its source has no versions.
     */
    public ConfigStatus status() {
        ConfigStatus reported = mStatus;
        ConfigSnapshot snapshot = mCurrent;
        if (reported != null || snapshot == null) {
            return reported == null ? ConfigStatus.NONE : reported;
        }
        long version = snapshot.version();
        return new ConfigStatus(version, version, ConfigStatus.Freshness.PROVEN, true);
    }

    /** Sets the status of the configuration. */
    public void publishStatus(ConfigStatus newStatus) {
        mStatus = newStatus;
    }

    /** Adds a listener, which is called immediately if there is a configuration. */
    public synchronized void addListener(Consumer<ConfigSnapshot> listener) {
        mListeners.add(listener);
        current().forEach(listener);
    }

    /** Puts a snapshot in force; one older than the current one is a violation and is ignored. */
    public synchronized void publish(ConfigSnapshot snapshot) {
        ConfigSnapshot previous = mCurrent;
        if (previous != null && snapshot.version() < previous.version()) {
            mInvariants.reportViolation(
                    Invariant.CONFIGURATION_MONOTONIC,
                    "version " + snapshot.version() + " after " + previous.version());
            return;
        }
        mCurrent = snapshot;
        mListeners.forEach(listener -> listener.accept(snapshot));
    }
}

package org.fuchsialever.cli.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.decisions.model.KeyId;

/** The tables {@code config} and {@code keys} in memory, with outages and stale reads. */
final class SoakStore {
    private final Map<Long, String> snapshots = new HashMap<>();
    private final TreeMap<KeyId, KeyRow> keys = new TreeMap<>();
    private long revision;
    private long configVersion;
    private long configRowVersion;
    private long staleConfigVersion;
    private long staleConfigRowVersion;
    private List<KeyRow> staleKeys = List.of();
    private boolean stale;
    boolean down;

    void apply(String routes, String pools) {
        configVersion++;
        revision++;
        configRowVersion = revision;
        snapshots.put(configVersion, new SnapshotText(configVersion, routes, pools).encode());
    }

    void put(KeyRecord key) {
        KeyRow present = keys.get(key.id());
        if (present != null && present.key().withdrawn()) {
            return;
        }
        revision++;
        keys.put(key.id(), new KeyRow(revision, key));
    }

    void withdraw(KeyId id) {
        KeyRow present = keys.get(id);
        put(present == null ? KeyRecord.tombstone(id) : present.key().asWithdrawn());
    }

    /** Makes reads return the present state until {@link #endStaleReads}. */
    void beginStaleReads() {
        staleKeys = new ArrayList<>(keys.values());
        staleConfigVersion = configVersion;
        staleConfigRowVersion = configRowVersion;
        stale = true;
    }

    void endStaleReads() {
        stale = false;
    }

    List<KeyRow> keysAfter(long version) {
        return (stale ? staleKeys : List.copyOf(keys.values()))
                .stream().filter(row -> row.version() > version).toList();
    }

    long readVersion() {
        return stale ? staleConfigVersion : configVersion;
    }

    long readRowVersion() {
        return stale ? staleConfigRowVersion : configRowVersion;
    }

    long currentVersion() {
        return configVersion;
    }

    long currentRowVersion() {
        return configRowVersion;
    }

    /** Returns the text of a snapshot row, or an empty text if a stale read does not show it. */
    String snapshot(long version) {
        return version > readVersion() ? "" : snapshots.getOrDefault(version, "");
    }
}

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
    private final Map<Long, String> mSnapshots = new HashMap<>();
    private final TreeMap<KeyId, KeyRow> mKeys = new TreeMap<>();
    private long mRevision;
    private long mConfigVersion;
    private long mConfigRowVersion;
    private long mStaleConfigVersion;
    private long mStaleConfigRowVersion;
    private List<KeyRow> mStaleKeys = List.of();
    private boolean mStale;
    boolean mDown;

    void apply(String routes, String pools) {
        mConfigVersion++;
        mRevision++;
        mConfigRowVersion = mRevision;
        mSnapshots.put(mConfigVersion, new SnapshotText(mConfigVersion, routes, pools).encode());
    }

    void put(KeyRecord key) {
        KeyRow present = mKeys.get(key.id());
        if (present != null && present.key().withdrawn()) {
            return;
        }
        mRevision++;
        mKeys.put(key.id(), new KeyRow(mRevision, key));
    }

    void withdraw(KeyId id) {
        KeyRow present = mKeys.get(id);
        put(present == null ? KeyRecord.tombstone(id) : present.key().asWithdrawn());
    }

    /** Makes reads return the present state until {@link #endStaleReads}. */
    void beginStaleReads() {
        mStaleKeys = new ArrayList<>(mKeys.values());
        mStaleConfigVersion = mConfigVersion;
        mStaleConfigRowVersion = mConfigRowVersion;
        mStale = true;
    }

    void endStaleReads() {
        mStale = false;
    }

    List<KeyRow> keysAfter(long version) {
        return (mStale ? mStaleKeys : List.copyOf(mKeys.values()))
                .stream().filter(row -> row.version() > version).toList();
    }

    long readVersion() {
        return mStale ? mStaleConfigVersion : mConfigVersion;
    }

    long readRowVersion() {
        return mStale ? mStaleConfigRowVersion : mConfigRowVersion;
    }

    long currentVersion() {
        return mConfigVersion;
    }

    long currentRowVersion() {
        return mConfigRowVersion;
    }

    /** Returns the text of a snapshot row, or an empty text if a stale read does not show it. */
    String snapshot(long version) {
        return version > readVersion() ? "" : mSnapshots.getOrDefault(version, "");
    }
}

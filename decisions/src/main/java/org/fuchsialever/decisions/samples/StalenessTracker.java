package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Tracks the newest version of the trainer's model and compares the versions of samples with it.
 */
final class StalenessTracker {
    private WeightVersion mNewest;

    StalenessTracker(WeightVersion newest) {
        mNewest = newest;
    }

    void observe(WeightVersion version) {
        if (version.compareTo(mNewest) > 0) {
            mNewest = version;
        }
    }

    WeightVersion newest() {
        return mNewest;
    }

    long staleness(WeightVersion oldest) {
        return Math.max(0, mNewest.number() - oldest.number());
    }

    boolean isStale(WeightVersion oldest, int bound) {
        return staleness(oldest) > bound;
    }
}

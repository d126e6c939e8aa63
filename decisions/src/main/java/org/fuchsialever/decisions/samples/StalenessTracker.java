package org.fuchsialever.decisions.samples;

import org.fuchsialever.decisions.model.WeightVersion;

/**
 * Tracks the newest version of the trainer's model and compares the versions of samples with it.
 */
final class StalenessTracker {
    private WeightVersion newest;

    StalenessTracker(WeightVersion newest) {
        this.newest = newest;
    }

    void observe(WeightVersion version) {
        if (version.compareTo(newest) > 0) {
            newest = version;
        }
    }

    WeightVersion newest() {
        return newest;
    }

    long staleness(WeightVersion oldest) {
        return Math.max(0, newest.number() - oldest.number());
    }

    boolean isStale(WeightVersion oldest, int bound) {
        return staleness(oldest) > bound;
    }
}

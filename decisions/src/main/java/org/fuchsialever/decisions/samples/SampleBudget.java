package org.fuchsialever.decisions.samples;

/**
 * Samples that are generated or wait for storage, over all trainers of an instance. A group
 * reserves places for all its samples before the first one starts; otherwise several half-finished
 * groups could take all places and none could finish.
 */
final class SampleBudget {
    private final int capacity;
    private int used;

    SampleBudget(int capacity) {
        this.capacity = capacity;
    }

    boolean reserve(int samples) {
        if (used + samples > capacity) {
            return false;
        }
        used += samples;
        return true;
    }

    void release(int samples) {
        used -= samples;
    }

    int capacity() {
        return capacity;
    }

    int used() {
        return used;
    }
}

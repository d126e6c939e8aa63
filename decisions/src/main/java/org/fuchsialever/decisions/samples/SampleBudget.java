package org.fuchsialever.decisions.samples;

/**
 * Limits the samples that are being generated or wait for storage, over all trainers of an
 * instance. A group reserves capacity for all its samples before the first one starts; otherwise
 * several incomplete groups could use up the capacity and none could complete.
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

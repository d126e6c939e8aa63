package org.fuchsialever.decisions.samples;

/**
 * Limits the samples that are being generated or wait for storage, over all trainers of an
 * instance. A group reserves capacity for all its samples before the first one starts; otherwise
 * several incomplete groups could use up the capacity and none could complete.
 */
final class SampleBudget {
    private final int mCapacity;
    private int mUsed;

    SampleBudget(int capacity) {
        mCapacity = capacity;
    }

    boolean reserve(int samples) {
        if (mUsed + samples > mCapacity) {
            return false;
        }
        mUsed += samples;
        return true;
    }

    void release(int samples) {
        mUsed -= samples;
    }

    int capacity() {
        return mCapacity;
    }

    int used() {
        return mUsed;
    }
}

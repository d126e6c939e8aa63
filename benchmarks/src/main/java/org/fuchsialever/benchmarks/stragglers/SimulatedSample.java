package org.fuchsialever.benchmarks.stragglers;

/** One run of a sample at an engine. */
final class SimulatedSample {
    final int mNumber;
    final String mPrompt;
    final double mLength;
    final long mStartedMillis;
    int mEngine;
    double mLeft;

    SimulatedSample(int number, String prompt, double length, long startedMillis, int engine) {
        mNumber = number;
        mPrompt = prompt;
        mLength = length;
        mLeft = length;
        mStartedMillis = startedMillis;
        mEngine = engine;
    }
}

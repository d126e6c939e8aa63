package org.fuchsialever.benchmarks.stragglers;

/** One run of a sample at an engine. */
final class SimulatedSample {
    final int number;
    final String prompt;
    final double length;
    final long startedMillis;
    int engine;
    double left;

    SimulatedSample(int number, String prompt, double length, long startedMillis, int engine) {
        this.number = number;
        this.prompt = prompt;
        this.length = length;
        this.left = length;
        this.startedMillis = startedMillis;
        this.engine = engine;
    }
}

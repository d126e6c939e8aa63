package org.fuchsialever.benchmarks.dispatch;

import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.dispatch.ChoiceHarness;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time and allocation of one choice among many upstreams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ChoiceBenchmark {
    /** Number of upstreams in the pool. */
    @Param({"6", "600", "10000"})
    public int upstreams;

    private ChoiceHarness mProbe = new ChoiceHarness(1);

    /** Fills the pool. */
    @Setup
    public void fillPool() {
        mProbe = new ChoiceHarness(upstreams);
    }

    /** Chooses once with the policy in use. */
    @Benchmark
    public int scoredChoice() {
        return mProbe.choose();
    }
}

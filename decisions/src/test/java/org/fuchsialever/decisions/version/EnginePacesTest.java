package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EnginePacesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final EnginePaces mPaces = new EnginePaces();

    @Test
    void tellsFastAndSlowEnginesFromUsualOnes() {
        calls("m", "usual", 1_000, 10, 0);
        calls("m", "near", 1_100, 10, 0);
        calls("m", "fast", 500, 10, 0);
        calls("m", "slow", 2_000, 10, 0);
        calls("m", "median", 1_000, 10, 0);
        assertThat(mPaces.speedPercents(SECOND), is(Map.of("fast", 200, "slow", 50)));
    }

    @Test
    void comparesEnginesOfTheSameModelBecauseEventsDifferInSize() {
        for (String engine : List.of("a", "b", "c")) {
            calls("m", engine, 1_000, 10, 0);
        }
        for (String engine : List.of("d", "e", "f")) {
            calls("n", engine, 5_000, 10, 0);
        }
        assertThat(mPaces.speedPercents(SECOND), is(Map.of()));
    }

    /** Guards against more engines for the model that already has the fast ones. */
    @Test
    void knowsThatAModelHasTheFastEnginesFromTheTimeWhenTheyServedBothModels() {
        for (String engine : List.of("f1", "f2", "f3")) {
            calls("m", engine, 500, 10, 0);
            calls("n", engine, 1_500, 10, 0);
        }
        for (String engine : List.of("u1", "u2", "u3", "u4")) {
            calls("m", engine, 1_000, 10, 0);
            calls("n", engine, 3_000, 10, 60);
        }
        for (String engine : List.of("f1", "f2", "f3")) {
            calls("m", engine, 500, 10, 60);
        }
        assertThat(mPaces.speedPercents(61 * SECOND), is(Map.of("f1", 200, "f2", 200, "f3", 200)));
    }

    @Test
    void saysNothingOfAnEngineAfterFewCalls() {
        calls("m", "a", 1_000, 10, 0);
        calls("m", "b", 1_000, 10, 0);
        calls("m", "c", 1_000, 10, 0);
        calls("m", "new", 4_000, 4, 0);
        assertThat(mPaces.speedPercents(SECOND), is(Map.of()));
    }

    @Test
    void forgetsAnEngineThatIsNoLongerUsed() {
        calls("m", "a", 1_000, 10, 0);
        calls("m", "b", 1_000, 10, 0);
        calls("m", "gone", 4_000, 10, 0);
        calls("m", "a", 1_000, 10, 20);
        calls("m", "b", 1_000, 10, 20);
        calls("m", "c", 1_000, 10, 20);
        assertThat(mPaces.speedPercents(29 * SECOND), is(Map.of("gone", 25)));
        assertThat(mPaces.speedPercents(31 * SECOND), is(Map.of()));
    }

    @Test
    void averagesTheReportsOfInstancesAndForgetsOldOnes() {
        EngineSpeeds speeds = new EngineSpeeds();
        speeds.report("i1", Map.of("e", 60, "f", 200), 0);
        speeds.report("i2", Map.of("e", 80), 20 * SECOND);
        assertThat(speeds.speeds(21 * SECOND).getOrDefault("e", 1.0), is(closeTo(0.7, 0.001)));
        assertThat(speeds.speeds(26 * SECOND), is(Map.of("e", 0.8)));
        assertThat(speeds.speeds(60 * SECOND), is(Map.of()));
    }

    private void calls(String model, String engine, long nanosPerEvent, int count, int second) {
        for (int i = 0; i < count; i++) {
            mPaces.observe(model, engine, nanosPerEvent, second * SECOND);
        }
    }
}

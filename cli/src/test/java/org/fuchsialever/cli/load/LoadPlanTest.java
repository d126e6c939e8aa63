package org.fuchsialever.cli.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.beust.jcommander.ParameterException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against arrivals that are not Poisson or differ between runs. */
class LoadPlanTest {
    private static final CallMix MIX = CallMix.parse("streamed=70,whole=20,plain=10");
    private static final Duration LENGTH = Duration.ofSeconds(100);
    private static final double RATE = 200;

    private final List<LoadPlan.PlannedCall> mCalls = LoadPlan.of(1, RATE, LENGTH, MIX).calls();

    @Test
    void theSeedFixesTimesAndKinds() {
        assertThat(LoadPlan.of(1, RATE, LENGTH, MIX).calls(), equalTo(mCalls));
        assertThat(LoadPlan.of(2, RATE, LENGTH, MIX).calls(), not(equalTo(mCalls)));
    }

    @Test
    void gapsHaveTheMeanAndTheSpreadOfAPoissonProcess() {
        double sum = 0;
        double squares = 0;
        long before = 0;
        for (LoadPlan.PlannedCall call : mCalls) {
            double gap = (call.atNanos() - before) / 1e9;
            sum += gap;
            squares += gap * gap;
            before = call.atNanos();
        }
        double mean = sum / mCalls.size();
        double deviation = Math.sqrt(squares / mCalls.size() - mean * mean);
        assertThat(mean, is(closeTo(1 / RATE, 0.05 / RATE)));
        assertThat(deviation, is(closeTo(mean, 0.05 * mean)));
        assertThat(before, is(lessThan(LENGTH.toNanos())));
    }

    @Test
    void kindsHaveTheSharesOfTheMix() {
        double streamed = mCalls.stream().filter(call -> call.kind() == CallKind.STREAMED).count();
        double plain = mCalls.stream().filter(call -> call.kind() == CallKind.PLAIN).count();
        assertThat(streamed / mCalls.size(), is(closeTo(0.7, 0.02)));
        assertThat(plain / mCalls.size(), is(closeTo(0.1, 0.02)));
    }

    @Test
    void refusesAMixWithoutCallsOrWithAnUnknownKind() {
        assertThrows(ParameterException.class, () -> CallMix.parse("plain=0"));
        assertThrows(ParameterException.class, () -> CallMix.parse("other=1"));
        assertThrows(ParameterException.class, () -> CallMix.parse("plain=2,whole=-1"));
    }
}

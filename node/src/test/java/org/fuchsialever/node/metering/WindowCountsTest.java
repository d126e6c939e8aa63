package org.fuchsialever.node.metering;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WindowCountsTest {
    private static final long NOW_MILLIS = 1_796_620_000_123L;

    /** Guards against windows that are numbered by a length in whole milliseconds. */
    @ParameterizedTest
    @ValueSource(strings = {"5", "2.5", "1.2345", "0.3333333", "0.001"})
    void numbersWindowsByTheirExactLength(String seconds) {
        BigDecimal millis = new BigDecimal(seconds).movePointRight(3);
        long window =
                BigDecimal.valueOf(NOW_MILLIS)
                        .divide(millis, 0, RoundingMode.FLOOR)
                        .longValueExact();
        BigDecimal end = millis.multiply(BigDecimal.valueOf(window + 1));
        WindowCounts counts =
                new WindowCounts(Duration.ofNanos(millis.movePointRight(6).longValueExact()));
        assertThat(counts.windowOf(NOW_MILLIS), is(window));
        assertThat(
                counts.endMillis(window),
                is(end.setScale(0, RoundingMode.CEILING).longValueExact()));
    }
}

package org.fuchsialever.kernel.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class QuantitiesTest {
    /** Guards against a limit that is stated as a fraction and keeps an instance from starting. */
    @ParameterizedTest
    @CsvSource({
        "8 s, PT8S",
        "8.0 s, PT8S",
        "7.5 s, PT7.5S",
        "1500.5 ms, PT1.5005S",
        "0.1 min, PT6S",
        "2.5e3 ms, PT2.5S",
        "1e-05 s, PT0.00001S",
        "1E+1 s, PT10S",
        "0.30000000000000004 s, PT0.3S",
        "4.000000001 s, PT4.000000001S",
        "0 s, PT0S"
    })
    void readsWholeNumbersAndFractionsOfEachUnit(String text, Duration expected) {
        assertThat(Quantities.parseDuration(text), is(Option.some(expected)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", "s", "soon", "7,5 s", "7. s", ".5 s", "-1 s", "1 day", "1 s 2 s", "NaN s"
            })
    void refusesATextThatIsNoDuration(String text) {
        assertThat(Quantities.parseDuration(text), is(Option.none()));
    }

    /** Guards against an overflow in a component that counts in nanoseconds. */
    @ParameterizedTest
    @ValueSource(strings = {"1e18 s", "999999999999999 h", "1e999 ms"})
    void refusesADurationAboveTheRangeOfNanoseconds(String text) {
        assertThat(Quantities.parseDuration(text), is(Option.none()));
    }

    @Test
    void readsFractionsOfASize() {
        assertThat(Quantities.parseSize("1.5 KB"), is(Option.some(1_536L)));
        assertThat(Quantities.parseSize("64 KB"), is(Option.some(65_536L)));
        assertThat(Quantities.parseSize("KB"), is(Option.none()));
    }
}

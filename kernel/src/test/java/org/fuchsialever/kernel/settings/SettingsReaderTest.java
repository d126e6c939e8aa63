package org.fuchsialever.kernel.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import org.fuchsialever.kernel.findings.Findings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsReaderTest {
    private static final String VARIABLE = "FUCHSIALEVER_FORWARD_LEAVING_PERIOD";

    private final Findings mFindings = new Findings();

    /** Guards against a limit of the platform that an instance does not learn. */
    @Test
    void prefersAValueOfTheEnvironment() {
        assertThat(leavingPeriod(Map.of(VARIABLE, " 3 s ")), is(Duration.ofSeconds(3)));
        assertThat(leavingPeriod(Map.of()), is(Duration.ofSeconds(1)));
        assertThat(mFindings.hasErrors(), is(false));
    }

    @Test
    void reportsAValueOfTheEnvironmentThatCannotBeRead() {
        assertThat(leavingPeriod(Map.of(VARIABLE, "soon")), is(Duration.ofSeconds(9)));
        assertThat(mFindings.hasErrors(), is(true));
    }

    /** Guards against a limit that becomes a fraction, after which no instance starts again. */
    @Test
    void readsAFractionFromTheFileAndFromTheEnvironment() {
        assertThat(
                leavingPeriod(Map.of(VARIABLE, "1500.5 ms")), is(Duration.ofNanos(1_500_500_000)));
        SettingsReader file = reader("[entry]\ngrace = 7.5 s\n");
        assertThat(file.duration("entry", "grace", Duration.ZERO), is(Duration.ofMillis(7_500)));
        assertThat(mFindings.isEmpty(), is(true));
    }

    /** Guards against a template whose field has no value, or a flag instead of a figure. */
    @ParameterizedTest
    @ValueSource(strings = {"", " s", "ms", "false s", "true ms", "false"})
    void warnsOfADurationWithoutAFigureAndTakesTheDefault(String text) {
        assertThat(leavingPeriod(Map.of(VARIABLE, text)), is(Duration.ofSeconds(9)));
        assertThat(mFindings.hasErrors(), is(false));
        assertThat(mFindings.isEmpty(), is(false));
    }

    @Test
    void reportsADurationThatIsTooShort() {
        Duration window =
                reader("[metering]\nwindow = 0 s\n")
                        .duration(
                                "metering", "window", Duration.ofSeconds(5), Duration.ofMillis(1));
        assertThat(window, is(Duration.ofSeconds(5)));
        assertThat(mFindings.hasErrors(), is(true));
    }

    /** Guards against a share of a core with as many digits as a floating-point number has. */
    @ParameterizedTest
    @CsvSource({
        "0.75, 0.75",
        "2, 2.0",
        "0.3333333333333333, 0.3333333333333333",
        "0.30000000000000004, 0.30000000000000004",
        "1e-05, 0.00001",
        "-1.5, -1.5"
    })
    void readsDecimalNumbersInEachForm(String text, double expected) {
        SettingsReader reader = reader("[working-set]\ncore-share = " + text + "\n");
        assertThat(reader.decimal("working-set", "core-share", 9, -10, 10), is(expected));
        assertThat(mFindings.isEmpty(), is(true));
    }

    @Test
    void warnsOfAnEmptyNumberAndTakesTheDefault() {
        SettingsReader reader = reader("[working-set]\ncore-share =\nslots =\n");
        assertThat(reader.decimal("working-set", "core-share", 9, 0, 10), is(9.0));
        assertThat(reader.integer("working-set", "slots", 8, 0, 10), is(8L));
        assertThat(mFindings.hasErrors(), is(false));
        assertThat(mFindings.list().size(), is(2));
    }

    @ParameterizedTest
    @ValueSource(strings = {"half", "0,5", "NaN", "1e999"})
    void reportsATextThatIsNoDecimalNumberInRange(String text) {
        SettingsReader reader = reader("[working-set]\ncore-share = " + text + "\n");
        assertThat(reader.decimal("working-set", "core-share", 9, 0, 10), is(9.0));
        assertThat(mFindings.hasErrors(), is(true));
    }

    private SettingsReader reader(String text) {
        return new SettingsReader(IniDocument.parse("node.ini", text, mFindings), mFindings);
    }

    private Duration leavingPeriod(Map<String, String> environment) {
        IniDocument document =
                IniDocument.parse("node.ini", "[forward]\nleaving-period = 1 s\n", mFindings);
        return new SettingsReader(document, mFindings, environment)
                .duration("forward", "leaving-period", Duration.ofSeconds(9));
    }
}

package org.fuchsialever.kernel.settings;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses numbers, durations and sizes. */
public final class Quantities {
    /** A whole number or a fraction, with an exponent if it is very large or small. */
    private static final String NUMBER = "\\d{1,20}(?:\\.\\d{1,20})?(?:[eE][+-]?\\d{1,3})?";

    private static final Pattern SIGNED_NUMBER = Pattern.compile("-?" + NUMBER);
    private static final Pattern QUANTITY = Pattern.compile("(" + NUMBER + ")\\s*([A-Za-z]+)");

    /** What a template yields for a duration whose field has no value or is a flag. */
    private static final Pattern DURATION_WITHOUT_FIGURE =
            Pattern.compile("(?:true|false)?\\s*(?:ms|s|min|h)?");

    private static final Map<String, Long> DURATION_UNITS =
            Map.of(
                    "ms", Duration.ofMillis(1).toNanos(),
                    "s", Duration.ofSeconds(1).toNanos(),
                    "min", Duration.ofMinutes(1).toNanos(),
                    "h", Duration.ofHours(1).toNanos());
    private static final Map<String, Long> SIZE_UNITS =
            Map.of("B", 1L, "KB", 1024L, "MB", 1024L * 1024, "GB", 1024L * 1024 * 1024);
    private static final BigDecimal MAX_QUANTITY = BigDecimal.valueOf(Long.MAX_VALUE);

    private Quantities() {}

    /** Parses a number such as {@code -1}, {@code 7.5} or {@code 1e-05}; none if it is invalid. */
    public static Option<BigDecimal> parseNumber(String text) {
        return SIGNED_NUMBER.matcher(text).matches()
                ? Option.some(new BigDecimal(text))
                : Option.none();
    }

    /**
     * Parses a duration such as {@code 250 ms} or {@code 7.5 s}, rounded to nanoseconds; none if
     * the text or its unit is invalid or the duration has more nanoseconds than a {@code long}.
     */
    public static Option<Duration> parseDuration(String text) {
        return parse(text, DURATION_UNITS).map(Duration::ofNanos);
    }

    /**
     * Parses a size such as {@code 64 KB} or {@code 1.5 MB}, rounded to bytes; none if the text or
     * its unit is invalid or the size has more bytes than a {@code long}.
     */
    public static Option<Long> parseSize(String text) {
        return parse(text, SIZE_UNITS);
    }

    /** Returns whether a text is a duration but for its number, which is missing or a flag. */
    static boolean isDurationWithoutFigure(String text) {
        return DURATION_WITHOUT_FIGURE.matcher(text).matches();
    }

    private static Option<Long> parse(String text, Map<String, Long> units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        return Option.of(units.get(matcher.group(2)))
                .map(unit -> new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unit)))
                .map(quantity -> quantity.setScale(0, RoundingMode.HALF_UP))
                .filter(quantity -> quantity.compareTo(MAX_QUANTITY) <= 0)
                .map(BigDecimal::longValueExact);
    }
}

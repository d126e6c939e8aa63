package org.fuchsialever.kernel.settings;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations and sizes. */
public final class Quantities {
    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]+)");
    private static final Map<String, Duration> DURATION_UNITS =
            Map.of(
                    "ms", Duration.ofMillis(1),
                    "s", Duration.ofSeconds(1),
                    "min", Duration.ofMinutes(1),
                    "h", Duration.ofHours(1));
    private static final Map<String, Long> SIZE_UNITS =
            Map.of("B", 1L, "KB", 1024L, "MB", 1024L * 1024, "GB", 1024L * 1024 * 1024);

    private Quantities() {}

    /** Parses a duration such as {@code 250 ms}; none if the text or its unit is invalid. */
    public static Option<Duration> parseDuration(String text) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        return Option.of(DURATION_UNITS.get(matcher.group(2)))
                .map(unit -> unit.multipliedBy(Long.parseLong(matcher.group(1))));
    }

    /** Parses a size such as {@code 64 KB} to bytes; none if the text or its unit is invalid. */
    public static Option<Long> parseSize(String text) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        return Option.of(SIZE_UNITS.get(matcher.group(2)))
                .map(unit -> unit * Long.parseLong(matcher.group(1)));
    }
}

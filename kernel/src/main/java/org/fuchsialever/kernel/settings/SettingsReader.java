package org.fuchsialever.kernel.settings;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;

/**
 * Reads typed values from an INI document. Every read marks its key as known, and {@link
 * #reportUnknownKeys} reports the others. An invalid value is reported as a finding and yields the
 * default.
 */
public final class SettingsReader {
    private static final String VARIABLE_PREFIX = "fuchsialever_";
    private static final String MSG_MISSING = "settings.missing";
    private static final String MSG_BAD_NUMBER = "settings.bad-number";
    private static final String MSG_OUT_OF_RANGE = "settings.out-of-range";
    private static final String MSG_BAD_DURATION = "settings.bad-duration";
    private static final String MSG_NO_FIGURE = "settings.no-figure";
    private static final String MSG_BAD_SIZE = "settings.bad-size";
    private static final String MSG_BAD_CHOICE = "settings.bad-choice";
    private static final String MSG_UNKNOWN_KEY = "settings.unknown-key";
    private static final String MSG_UNKNOWN_SECTION = "settings.unknown-section";

    private final IniDocument mDocument;
    private final Findings mFindings;
    private final Map<String, String> mEnvironment;
    private final Set<String> mKnownKeys = new HashSet<>();
    private final Set<String> mKnownSections = new HashSet<>();

    /**
     * Creates a reader.
     *
     * @param findings receives one finding for each problem
     */
    public SettingsReader(IniDocument document, Findings findings) {
        this(document, findings, Map.of());
    }

    /**
     * Creates a reader with values from the environment, which go before those of the document. The
     * variable of the key {@code leaving-period} in the section {@code forward} is {@code
     * FUCHSIALEVER_FORWARD_LEAVING_PERIOD}.
     *
     * @param findings receives one finding for each problem
     * @param environment the environment variables by name
     */
    public SettingsReader(
            IniDocument document, Findings findings, Map<String, String> environment) {
        mDocument = document;
        mFindings = findings;
        mEnvironment = Map.copyOf(environment);
    }

    /** Returns the underlying document. */
    public IniDocument document() {
        return mDocument;
    }

    /** Returns the findings that this reader adds to. */
    public Findings findings() {
        return mFindings;
    }

    /** Returns a required text; a missing or empty value is an error and yields an empty string. */
    public String requiredText(String section, String key) {
        Option<String> value = raw(section, key);
        if (value.isEmpty() || value.get().isEmpty()) {
            mFindings.error(mDocument.location(section, key), MSG_MISSING, "a value is required");
        }
        return value.getOrElse("");
    }

    /** Returns a text, or the default if the key does not occur. */
    public String text(String section, String key, String defaultValue) {
        return raw(section, key).getOrElse(defaultValue);
    }

    /** Returns the elements of a comma-separated list, or the default if the key does not occur. */
    public List<String> list(String section, String key, List<String> defaultValue) {
        return raw(section, key).map(SettingsReader::split).getOrElse(defaultValue);
    }

    /**
     * Returns an integer within bounds (both inclusive). If the value is empty, because the field
     * of a template has no value, the default applies and a warning is added.
     */
    public long integer(String section, String key, long defaultValue, long min, long max) {
        Option<String> value = raw(section, key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (value.get().isEmpty()) {
            warnOfMissingNumber(section, key, value.get());
            return defaultValue;
        }
        long number;
        try {
            number = Long.parseLong(value.get());
        } catch (NumberFormatException e) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_BAD_NUMBER,
                    "\"%s\" is not a whole number",
                    value.get());
            return defaultValue;
        }
        if (number < min || number > max) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_OUT_OF_RANGE,
                    "%d is out of range; allowed are %d to %d",
                    number,
                    min,
                    max);
            return defaultValue;
        }
        return number;
    }

    /**
     * Returns a decimal number within bounds (both inclusive), such as {@code 2}, {@code 0.75} or
     * {@code 1e-05}. An empty value is treated as that of an integer.
     */
    public double decimal(String section, String key, double defaultValue, double min, double max) {
        Option<String> value = raw(section, key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (value.get().isEmpty()) {
            warnOfMissingNumber(section, key, value.get());
            return defaultValue;
        }
        Option<Double> number = Quantities.parseNumber(value.get()).map(BigDecimal::doubleValue);
        if (number.isEmpty()) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_BAD_NUMBER,
                    "\"%s\" is not a decimal number",
                    value.get());
            return defaultValue;
        }
        if (number.get() < min || number.get() > max) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_OUT_OF_RANGE,
                    "%s is out of range; allowed are %s to %s",
                    number.get(),
                    min,
                    max);
            return defaultValue;
        }
        return number.get();
    }

    /** Returns a duration such as {@code 250 ms}, {@code 7.5 s}, {@code 2 min} or {@code 1 h}. */
    public Duration duration(String section, String key, Duration defaultValue) {
        return duration(section, key, defaultValue, Duration.ZERO);
    }

    /**
     * Returns a duration of at least the given length. If the number is missing, because the field
     * of a template has no value, the default applies and a warning is added.
     */
    public Duration duration(String section, String key, Duration defaultValue, Duration min) {
        Option<String> value = raw(section, key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (Quantities.isDurationWithoutFigure(value.get())) {
            warnOfMissingNumber(section, key, value.get());
            return defaultValue;
        }
        Option<Duration> duration = Quantities.parseDuration(value.get());
        if (duration.isEmpty()) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_BAD_DURATION,
                    "\"%s\" is not a duration; write for example 250 ms, 7.5 s, 2 min or 1 h",
                    value.get());
            return defaultValue;
        }
        if (duration.get().compareTo(min) < 0) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_OUT_OF_RANGE,
                    "\"%s\" is too short; at least %d ms are needed",
                    value.get(),
                    min.toMillis());
            return defaultValue;
        }
        return duration.get();
    }

    /** Returns a size in bytes from a text such as {@code 64 KB} or {@code 1 MB}. */
    public long size(String section, String key, long defaultBytes) {
        Option<String> value = raw(section, key);
        if (value.isEmpty()) {
            return defaultBytes;
        }
        Option<Long> size = Quantities.parseSize(value.get());
        if (size.isEmpty()) {
            mFindings.error(
                    mDocument.location(section, key),
                    MSG_BAD_SIZE,
                    "\"%s\" is not a size; write for example 512 B, 64 KB or 1 MB",
                    value.get());
        }
        return size.getOrElse(defaultBytes);
    }

    /** Returns the enum constant whose {@link #label} is the value of the key. */
    public <T extends Enum<T>> T choice(String section, String key, Class<T> type, T defaultValue) {
        Option<String> value = raw(section, key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        for (T constant : type.getEnumConstants()) {
            if (label(constant).equals(value.get())) {
                return constant;
            }
        }
        String allowed =
                Arrays.stream(type.getEnumConstants())
                        .map(SettingsReader::label)
                        .collect(Collectors.joining(", "));
        mFindings.error(
                mDocument.location(section, key),
                MSG_BAD_CHOICE,
                "\"%s\" is not allowed; allowed are %s",
                value.get(),
                allowed);
        return defaultValue;
    }

    /** Returns the location of a key, for findings of the caller. */
    public Location location(String section, String key) {
        return mDocument.location(section, key);
    }

    /** Adds an error for each section and key that has not been read. */
    public void reportUnknownKeys() {
        for (String section : mDocument.sections()) {
            if (!mKnownSections.contains(section)) {
                mFindings.error(
                        mDocument.location(section),
                        MSG_UNKNOWN_SECTION,
                        "section [%s] is not known",
                        section);
                continue;
            }
            for (String key : mDocument.keys(section)) {
                if (!mKnownKeys.contains(section + "/" + key)) {
                    mFindings.error(
                            mDocument.location(section, key),
                            MSG_UNKNOWN_KEY,
                            "key \"%s\" is not known in section [%s]",
                            key,
                            section);
                }
            }
        }
    }

    /** Returns the text of an enum constant in settings: its name in lower case with dashes. */
    public static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private void warnOfMissingNumber(String section, String key, String value) {
        mFindings.warning(
                mDocument.location(section, key),
                MSG_NO_FIGURE,
                "\"%s\" has no number; the default applies",
                value);
    }

    private Option<String> raw(String section, String key) {
        mKnownSections.add(section);
        mKnownKeys.add(section + "/" + key);
        return Option.of(mEnvironment.get(variable(section, key)))
                .map(String::strip)
                .orElse(() -> mDocument.value(section, key));
    }

    private static String variable(String section, String key) {
        return (VARIABLE_PREFIX + section + "_" + key).toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static List<String> split(String text) {
        return Arrays.stream(text.split(","))
                .map(String::strip)
                .filter(element -> !element.isEmpty())
                .toList();
    }
}

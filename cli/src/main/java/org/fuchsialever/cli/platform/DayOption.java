package org.fuchsialever.cli.platform;

import com.beust.jcommander.ParameterException;
import java.time.LocalDate;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;

/** Parses options that name a UTC day, such as {@code 2026-12-04}. */
public final class DayOption {
    private static final DateTimeFormatter COMPACT = DateTimeFormatter.BASIC_ISO_DATE;

    private DayOption() {}

    /**
     * Parses the value of an option.
     *
     * @throws ParameterException if the text is not a valid ISO date
     */
    public static LocalDate parse(String text) {
        try {
            return LocalDate.parse(text);
        } catch (DateTimeParseException e) {
            throw new ParameterException("\"" + text + "\" is not a day such as 2026-12-04");
        }
    }

    /** Formats a day as in row keys and object names, such as {@code 20261204}. */
    public static String compact(LocalDate day) {
        return COMPACT.format(day);
    }
}

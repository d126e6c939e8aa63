package org.fuchsialever.cli.platform;

import com.beust.jcommander.ParameterException;
import java.time.LocalDate;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;

/** Days in options, such as {@code 2026-12-04}, in UTC. */
public final class DayOption {
    private static final DateTimeFormatter COMPACT = DateTimeFormatter.BASIC_ISO_DATE;

    private DayOption() {}

    /**
     * Returns the day of an option.
     *
     * @throws ParameterException if the text is no day
     */
    public static LocalDate parse(String text) {
        try {
            return LocalDate.parse(text);
        } catch (DateTimeParseException e) {
            throw new ParameterException("\"" + text + "\" is not a day such as 2026-12-04");
        }
    }

    /** Returns a day as it is written in keys and object names, such as {@code 20261204}. */
    public static String compact(LocalDate day) {
        return COMPACT.format(day);
    }
}

package org.fuchsialever.decisions.usage;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;

/**
 * Identity of a usage window.
 *
 * @param startMillis wall-clock time of its start in milliseconds since the epoch
 */
public record WindowId(long startMillis) implements Comparable<WindowId> {
    private static final DateTimeFormatter LABEL =
            DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'");
    private static final int DAY_LENGTH = 8;

    /** Returns the window of the given length that contains a wall-clock time. */
    public static WindowId at(long wallMillis, long lengthMillis) {
        return new WindowId(Math.floorDiv(wallMillis, lengthMillis) * lengthMillis);
    }

    /**
     * Returns the window with a label.
     *
     * @throws IllegalArgumentException if the text is no label
     */
    public static WindowId parse(String label) {
        try {
            LocalDateTime start = LocalDateTime.parse(label, LABEL);
            return new WindowId(start.toInstant(ZoneOffset.UTC).toEpochMilli());
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException("\"" + label + "\" is not a usage window", e);
        }
    }

    /** Returns the start in UTC, such as {@code 20261204T080500Z}. */
    public String label() {
        return LABEL.format(Instant.ofEpochMilli(startMillis).atOffset(ZoneOffset.UTC));
    }

    /** Returns the UTC day of the start, such as {@code 20261204}. */
    public String day() {
        return label().substring(0, DAY_LENGTH);
    }

    @Override
    public int compareTo(WindowId other) {
        return Long.compare(startMillis, other.startMillis);
    }
}

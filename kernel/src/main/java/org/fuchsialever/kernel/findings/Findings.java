package org.fuchsialever.kernel.findings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Collects findings so that all of them can be reported together. Used by one thread. */
public final class Findings {
    private final List<Finding> mEntries = new ArrayList<>();

    /** Adds an error; the message is a format string with its arguments. */
    public void error(Location location, String messageKey, String message, Object... arguments) {
        add(Severity.ERROR, location, messageKey, message, arguments);
    }

    /** Adds a warning; the message is a format string with its arguments. */
    public void warning(Location location, String messageKey, String message, Object... arguments) {
        add(Severity.WARNING, location, messageKey, message, arguments);
    }

    /** Adds all findings of another collection, in their order. */
    public void addAll(Findings other) {
        mEntries.addAll(other.mEntries);
    }

    /** Returns whether there is at least one error. */
    public boolean hasErrors() {
        return mEntries.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
    }

    /** Returns whether there is no finding at all. */
    public boolean isEmpty() {
        return mEntries.isEmpty();
    }

    /** Returns the findings in the order in which they were added. */
    public List<Finding> list() {
        return List.copyOf(mEntries);
    }

    /** Returns one line for each finding. */
    public String report() {
        return mEntries.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }

    private void add(
            Severity severity,
            Location location,
            String messageKey,
            String message,
            Object[] arguments) {
        String text =
                arguments.length == 0 ? message : String.format(Locale.ROOT, message, arguments);
        mEntries.add(new Finding(severity, location, messageKey, text));
    }
}

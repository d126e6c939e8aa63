package org.fuchsialever.kernel.findings;

/**
 * The location in user input that a finding refers to.
 *
 * @param file the name of the file, or an empty string
 * @param line the line, counted from 1, or 0 if unknown
 * @param key the key within the file, such as {@code route chat/pool}, or an empty string
 */
public record Location(String file, int line, String key) {

    /** Returns a location that has a key but no file and line. */
    public static Location ofKey(String key) {
        return new Location("", 0, key);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (line > 0) {
            text.append(':').append(line);
        }
        if (!key.isEmpty()) {
            text.append(text.length() > 0 ? ": " : "").append(key);
        }
        return text.toString();
    }
}

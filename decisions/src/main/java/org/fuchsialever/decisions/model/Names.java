package org.fuchsialever.decisions.model;

import java.util.regex.Pattern;

/** Validation of names. */
public final class Names {
    /** Description of valid names, for error messages. */
    public static final String RULE = "1 to 128 letters, digits, dots, dashes or underscores";

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private Names() {}

    /** Returns whether a text may be used as a name. */
    public static boolean isValid(String value) {
        return ALLOWED.matcher(value).matches();
    }

    static void check(String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException("a name needs " + RULE + ", not \"" + value + "\"");
        }
    }
}

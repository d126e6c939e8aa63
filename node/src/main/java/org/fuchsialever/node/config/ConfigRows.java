package org.fuchsialever.node.config;

import io.vavr.control.Option;
import io.vavr.control.Try;

/** Names and forms of the rows that hold the configuration. */
public final class ConfigRows {
    /** The table of all rows. */
    public static final String TABLE = "config";

    /** The key of the row that names the version in force; its value is that number. */
    public static final String CURRENT = "current";

    private ConfigRows() {}

    /** Returns the key of the immutable row of a version. */
    public static String snapshotKey(long version) {
        return "snapshot/" + version;
    }

    /** Returns the version that the value of the version row names, or none if it is damaged. */
    public static Option<Long> decodeVersion(String value) {
        return Try.of(() -> Long.parseLong(value.strip()))
                .toOption()
                .filter(version -> version > 0);
    }
}

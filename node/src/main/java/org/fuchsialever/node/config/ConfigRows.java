package org.fuchsialever.node.config;

import io.vavr.control.Option;
import io.vavr.control.Try;

/** Keys and encoding of the rows that hold the configuration. */
public final class ConfigRows {
    public static final String TABLE = "config";

    /** Key of the row whose value is the number of the version in force. */
    public static final String CURRENT = "current";

    private ConfigRows() {}

    /** Returns the key of the immutable row of a version. */
    public static String snapshotKey(long version) {
        return "snapshot/" + version;
    }

    /** Returns the version in the value of the row {@link #CURRENT}, or none if it is malformed. */
    public static Option<Long> decodeVersion(String value) {
        return Try.of(() -> Long.parseLong(value.strip()))
                .toOption()
                .filter(version -> version > 0);
    }
}

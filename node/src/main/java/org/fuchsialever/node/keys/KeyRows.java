package org.fuchsialever.node.keys;

import io.vavr.control.Either;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.services.Row;

/** Rows that hold keys. The key of a row is the ID of the key. */
public final class KeyRows {
    public static final String TABLE = "keys";

    private KeyRows() {}

    /** Returns the key that a row holds, or why the row is malformed. */
    public static Either<String, KeyRow> decode(Row row) {
        return KeyRecord.decode(row.key(), row.value()).map(key -> new KeyRow(row.version(), key));
    }
}

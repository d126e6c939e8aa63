package org.fuchsialever.node.keys;

import io.vavr.control.Either;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.services.Row;

/** Names and forms of the rows that hold keys; the key of a row is the identity of the key. */
public final class KeyRows {
    /** The table of all rows. */
    public static final String TABLE = "keys";

    private KeyRows() {}

    /** Returns the key that a row holds, or why the row is damaged. */
    public static Either<String, KeyRow> decode(Row row) {
        return KeyRecord.decode(row.key(), row.value()).map(key -> new KeyRow(row.version(), key));
    }
}

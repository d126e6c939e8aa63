package org.fuchsialever.node.audit;

import io.vavr.control.Try;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.audit.AuditCheckpoint;
import org.fuchsialever.services.Row;

/** Rows of table {@code audit}: one for each day and start. */
public final class AuditRows {
    /** Name of the table. */
    public static final String TABLE = "audit";

    private AuditRows() {}

    /** Returns the key of the row of a day and a start. */
    public static String key(String day, String start) {
        return day + "/" + start;
    }

    /**
     * Returns the checkpoints of a day by start.
     *
     * @return a failure if a row has another form
     */
    public static Try<Map<String, AuditCheckpoint>> decode(String day, Iterable<Row> rows) {
        Map<String, AuditCheckpoint> checkpoints = new TreeMap<>();
        for (Row row : rows) {
            Try<AuditCheckpoint> checkpoint = AuditCheckpoint.parse(row.value());
            if (checkpoint.isFailure()) {
                return Try.failure(checkpoint.getCause());
            }
            checkpoints.put(row.key().substring(day.length() + 1), checkpoint.get());
        }
        return Try.success(checkpoints);
    }
}

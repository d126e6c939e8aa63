package org.fuchsialever.node.audit;

import io.vavr.control.Try;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.decisions.audit.AuditCheckpoint;
import org.fuchsialever.services.Row;

/** Rows of table {@code audit}: one checkpoint for each day and start of an instance. */
public final class AuditRows {
    public static final String TABLE = "audit";

    private AuditRows() {}

    /** Returns the key of the row of a day and a start ({@code instance/startId}). */
    public static String key(String day, String start) {
        return day + "/" + start;
    }

    /**
     * Returns the checkpoints of a day by start.
     *
     * @return the checkpoints, or a failure if a row is malformed
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

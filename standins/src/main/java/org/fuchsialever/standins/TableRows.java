package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The rows of all tables with their global revision. Not thread-safe. */
final class TableRows {
    private final Map<String, NavigableMap<String, Row>> mTables = new TreeMap<>();
    private long mRevision;

    /** Returns a copy that later commits do not change. */
    TableRows copy() {
        TableRows copy = new TableRows();
        mTables.forEach((name, rows) -> copy.mTables.put(name, new TreeMap<>(rows)));
        copy.mRevision = mRevision;
        return copy;
    }

    long revision() {
        return mRevision;
    }

    /** Returns the rows that do not satisfy the conditions; a missing row has version 0. */
    List<Row> conflicts(JsonNode conditions) {
        List<Row> conflicts = new ArrayList<>();
        for (JsonNode condition : conditions) {
            String table = condition.path("table").asText();
            String key = condition.path("key").asText();
            Row row = find(table, key);
            Row current = row == null ? new Row(table, key, 0, "", "") : row;
            if (current.version != condition.path("version").asLong()) {
                conflicts.add(current);
            }
        }
        return conflicts;
    }

    /** Applies a commit whose conditions hold; returns the new revision. */
    long apply(JsonNode commit) {
        mRevision++;
        for (JsonNode delete : commit.path("deletes")) {
            rows(delete.path("table").asText()).remove(delete.path("key").asText());
        }
        String writer = commit.path("writer").asText();
        for (JsonNode put : commit.path("puts")) {
            String table = put.path("table").asText();
            String key = put.path("key").asText();
            Row row = new Row(table, key, mRevision, put.path("value").asText(), writer);
            rows(table).put(key, row);
        }
        return mRevision;
    }

    @Nullable Row find(String table, String key) {
        return mTables.getOrDefault(table, new TreeMap<>()).get(key);
    }

    List<Row> scan(String table, String prefix, long after) {
        List<Row> found = new ArrayList<>();
        NavigableMap<String, Row> rows = mTables.getOrDefault(table, new TreeMap<>());
        for (Row row : rows.tailMap(prefix, true).values()) {
            if (!row.key.startsWith(prefix)) {
                break;
            }
            if (row.version > after) {
                found.add(row);
            }
        }
        return found;
    }

    private NavigableMap<String, Row> rows(String table) {
        return mTables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    static ArrayNode toJson(List<Row> rows, ArrayNode target) {
        rows.forEach(row -> target.add(row.toJson()));
        return target;
    }

    record Row(String table, String key, long version, String value, String writer) {

        ObjectNode toJson() {
            return Json.object()
                    .put("table", table)
                    .put("key", key)
                    .put("version", version)
                    .put("value", value)
                    .put("writer", writer);
        }
    }
}

package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/** A transactional table service in memory, with one revision for all tables. */
public final class TableServiceStandIn extends StandInServer {
    private static final int CONFLICT = 409;

    private final TableRows mRows = new TableRows();
    private @Nullable TableRows mStaleRows;

    /** Starts an empty table service. */
    public TableServiceStandIn() {
        on("commit", "POST", "/tables/commit", request -> Mono.just(commit(request.json())));
        on("read", "GET", "/tables/([^/]+)/rows/([^/]+)", request -> Mono.just(read(request)));
        on("scan", "GET", "/tables/([^/]+)/rows", request -> Mono.just(scan(request)));
        on("reads", "POST", "/stand-in/reads", request -> Mono.just(setReadMode(request)));
        open();
    }

    /**
     * Makes reads return the present state of the rows until {@link #serveCurrentReads} is called.
     */
    public synchronized void serveStaleReads() {
        mStaleRows = mRows.copy();
    }

    /** Makes reads return the current rows again. */
    public synchronized void serveCurrentReads() {
        mStaleRows = null;
    }

    /** Returns the revision of the last commit. */
    public synchronized long revision() {
        return mRows.revision();
    }

    /** Returns the current value of a row. */
    public synchronized Option<String> value(String table, String key) {
        return Option.of(mRows.find(table, key)).map(TableRows.Row::value);
    }

    /** Returns the current values of the rows whose keys begin with a prefix. */
    public synchronized Map<String, String> values(String table, String prefix) {
        Map<String, String> values = new TreeMap<>();
        mRows.scan(table, prefix, 0).forEach(row -> values.put(row.key(), row.value()));
        return values;
    }

    /** Writes a row without conditions; returns its version. */
    public synchronized long put(String table, String key, String value) {
        ObjectNode commit = Json.object().put("writer", "stand-in");
        commit.putArray("puts").addObject().put("table", table).put("key", key).put("value", value);
        return mRows.apply(commit);
    }

    private synchronized StandInResponse commit(JsonNode commit) {
        List<TableRows.Row> conflicts = mRows.conflicts(commit.path("conditions"));
        ObjectNode body = Json.object();
        if (!conflicts.isEmpty()) {
            TableRows.toJson(conflicts, body.putArray("conflicts"));
            return StandInResponse.json(CONFLICT, body);
        }
        return StandInResponse.json(200, body.put("version", mRows.apply(commit)));
    }

    private synchronized StandInResponse read(StandInRequest request) {
        TableRows.Row row =
                readableRows().find(request.pathArguments().get(0), request.pathArguments().get(1));
        return row == null
                ? StandInResponse.error(404, "no_such_row")
                : StandInResponse.json(200, row.toJson());
    }

    private synchronized StandInResponse scan(StandInRequest request) {
        String prefix = request.query("prefix", "");
        long after = Long.parseLong(request.query("after", "0"));
        ObjectNode body = Json.object();
        List<TableRows.Row> found =
                readableRows().scan(request.pathArguments().get(0), prefix, after);
        TableRows.toJson(found, body.putArray("rows"));
        return StandInResponse.json(200, body);
    }

    private StandInResponse setReadMode(StandInRequest request) {
        if (request.json().path("held").asBoolean()) {
            serveStaleReads();
        } else {
            serveCurrentReads();
        }
        return StandInResponse.json(200, Json.object());
    }

    private TableRows readableRows() {
        return mStaleRows == null ? mRows : mStaleRows;
    }
}

package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import reactor.core.publisher.Mono;

/** The table service over HTTP. */
final class HttpTableService implements TableService {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final InterfaceClient mClient;

    HttpTableService(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        String path =
                "/tables/" + InterfaceClient.encode(table) + "/rows/" + InterfaceClient.encode(key);
        return mClient.read(
                path,
                response -> {
                    if (response.status() == NOT_FOUND) {
                        return Option.none();
                    }
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    return Option.some(row(response.json()));
                });
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        String path =
                "/tables/"
                        + InterfaceClient.encode(table)
                        + "/rows?prefix="
                        + InterfaceClient.encode(prefix)
                        + "&after="
                        + afterVersion;
        return mClient.read(
                path,
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    return rows(InterfaceResponse.list(response.json(), "rows"));
                });
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        byte[] body = body(commit).toString().getBytes(StandardCharsets.UTF_8);
        return mClient.change(HttpMethod.POST, "/tables/commit", body, HttpTableService::result);
    }

    private static CommitResult result(InterfaceResponse response) {
        if (response.status() == OK) {
            return new CommitResult.Committed(InterfaceResponse.number(response.json(), "version"));
        }
        if (response.status() == CONFLICT) {
            return new CommitResult.Conflict(
                    rows(InterfaceResponse.list(response.json(), "conflicts")));
        }
        throw response.unexpectedStatus();
    }

    private static ObjectNode body(Commit commit) {
        ObjectNode body = InterfaceResponse.MAPPER.createObjectNode();
        body.put("writer", commit.writer());
        ArrayNode conditions = body.putArray("conditions");
        for (Commit.Condition condition : commit.conditions()) {
            conditions
                    .addObject()
                    .put("table", condition.table())
                    .put("key", condition.key())
                    .put("version", condition.version());
        }
        ArrayNode puts = body.putArray("puts");
        for (Commit.Put put : commit.puts()) {
            puts.addObject()
                    .put("table", put.table())
                    .put("key", put.key())
                    .put("value", put.value());
        }
        ArrayNode deletes = body.putArray("deletes");
        for (Commit.Delete delete : commit.deletes()) {
            deletes.addObject().put("table", delete.table()).put("key", delete.key());
        }
        return body;
    }

    private static List<Row> rows(JsonNode list) {
        List<Row> rows = new ArrayList<>();
        for (JsonNode row : list) {
            // The service may list an absent row as null or with version 0; it is left out.
            if (row.isObject() && row.path("version").asLong() > 0) {
                rows.add(row(row));
            }
        }
        return rows;
    }

    private static Row row(JsonNode row) {
        return new Row(
                InterfaceResponse.text(row, "table"),
                InterfaceResponse.text(row, "key"),
                InterfaceResponse.number(row, "version"),
                InterfaceResponse.text(row, "value"),
                InterfaceResponse.text(row, "writer"));
    }
}

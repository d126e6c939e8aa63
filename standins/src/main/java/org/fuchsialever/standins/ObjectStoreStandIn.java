package org.fuchsialever.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import reactor.core.publisher.Mono;

/** An object store in memory. */
public final class ObjectStoreStandIn extends StandInServer {
    private static final int PRECONDITION_FAILED = 412;

    private final Map<String, byte[]> mObjects = new ConcurrentSkipListMap<>();

    /** Starts an empty object store. */
    public ObjectStoreStandIn() {
        on("put", "PUT", "/objects/(.+)", request -> Mono.just(put(request)));
        on("get", "GET", "/objects/(.+)", request -> Mono.just(read(request)));
        on("list", "GET", "/objects", request -> Mono.just(list(request)));
        open();
    }

    /** Returns the names of all objects, sorted. */
    public List<String> names() {
        return List.copyOf(mObjects.keySet());
    }

    /** Returns an object. */
    public Option<byte[]> object(String name) {
        return Option.of(mObjects.get(name)).map(byte[]::clone);
    }

    private StandInResponse put(StandInRequest request) {
        String name = request.pathArguments().get(0);
        if (!request.header("If-None-Match").equals("*")) {
            mObjects.put(name, request.body());
        } else if (mObjects.putIfAbsent(name, request.body()) != null) {
            return StandInResponse.error(PRECONDITION_FAILED, "object_exists");
        }
        return StandInResponse.json(201, Json.object());
    }

    private StandInResponse read(StandInRequest request) {
        byte[] object = mObjects.get(request.pathArguments().get(0));
        return object == null
                ? StandInResponse.error(404, "no_such_object")
                : StandInResponse.bytes(200, "application/octet-stream", object);
    }

    private StandInResponse list(StandInRequest request) {
        String prefix = request.query("prefix", "");
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("names");
        mObjects.keySet().stream().filter(name -> name.startsWith(prefix)).forEach(names::add);
        return StandInResponse.json(200, body);
    }
}

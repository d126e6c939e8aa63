package org.fuchsialever.services.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.services.ObjectStore;
import reactor.core.publisher.Mono;

/** The object store over HTTP. */
final class HttpObjectStore implements ObjectStore {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int EXISTS = 412;

    private final InterfaceClient mClient;

    /** Creates a store; the client must send {@code If-None-Match: *} with each change. */
    HttpObjectStore(InterfaceClient client) {
        mClient = client;
    }

    @Override
    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
        return mClient.change(
                HttpMethod.PUT,
                "/objects/" + InterfaceClient.encode(name),
                content,
                response -> {
                    if (response.status() != CREATED && response.status() != EXISTS) {
                        throw response.unexpectedStatus();
                    }
                    return response.status() == CREATED;
                });
    }

    @Override
    public Mono<Option<byte[]>> read(String name) {
        return mClient.read(
                "/objects/" + InterfaceClient.encode(name),
                response -> {
                    if (response.status() == NOT_FOUND) {
                        return Option.none();
                    }
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    return Option.some(response.body());
                });
    }

    @Override
    public Mono<List<String>> list(String prefix) {
        return mClient.read(
                "/objects?prefix=" + InterfaceClient.encode(prefix),
                response -> {
                    if (response.status() != OK) {
                        throw response.unexpectedStatus();
                    }
                    List<String> names = new ArrayList<>();
                    for (JsonNode name : InterfaceResponse.list(response.json(), "names")) {
                        names.add(name.asText());
                    }
                    return names.stream().sorted().toList();
                });
    }
}

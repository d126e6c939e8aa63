package org.fuchsialever.soak;

import java.time.Duration;
import java.util.Map;
import org.fuchsialever.platform.CallerStandIn;
import reactor.core.publisher.Mono;

/** Calls instances through their links; a connection that ends without an answer is an outcome. */
final class Caller implements AutoCloseable {
    /** Longer than the time limit of each call, so that an instance answers first. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    /** Stands for a connection that ended without an answer. */
    private static final CallerStandIn.Response NONE = new CallerStandIn.Response(0, Map.of(), "");

    private final CallerStandIn mCaller = CallerStandIn.withPersistentConnections(PATIENCE);

    Mono<CallerStandIn.Response> call(
            InstanceProgram instance, String method, String path, String id, String body) {
        return call(instance, method, path, id, body, Map.of());
    }

    Mono<CallerStandIn.Response> call(
            InstanceProgram instance,
            String method,
            String path,
            String id,
            String body,
            Map<String, String> fields) {
        String address = instance.entryLink().address();
        return mCaller.call(address, method, path, id, SoakWorld.KEY, body, fields)
                .onErrorReturn(NONE);
    }

    @Override
    public void close() {
        mCaller.close();
    }
}

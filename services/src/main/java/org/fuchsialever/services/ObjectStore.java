package org.fuchsialever.services;

import io.vavr.control.Option;
import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's object store. Failures are {@link PlatformException}s. */
public interface ObjectStore {

    /** Stores an object unless the name exists; returns whether this call stored it. */
    Mono<Boolean> putIfAbsent(String name, byte[] content);

    /** Returns the content of an object, or none if there is none. */
    Mono<Option<byte[]>> read(String name);

    /** Returns the names that begin with a prefix, sorted. */
    Mono<List<String>> list(String prefix);
}

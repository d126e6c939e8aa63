package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/** An answer to a caller. */
sealed interface EntryAnswer {

    /** Returns the HTTP status. */
    int status();

    /** Returns the header fields, without those that concern the connection. */
    HttpHeaders headers();

    /** An answer whose body is known. */
    record Whole(int status, HttpHeaders headers, byte[] body) implements EntryAnswer {}

    /** An answer whose body is passed on while it arrives; an error breaks the connection. */
    record Streamed(int status, HttpHeaders headers, Flux<byte[]> body) implements EntryAnswer {}
}

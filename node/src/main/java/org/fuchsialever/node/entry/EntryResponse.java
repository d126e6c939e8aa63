package org.fuchsialever.node.entry;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/** A response to a caller. */
sealed interface EntryResponse {

    /** Returns the HTTP status. */
    int status();

    /** Returns the header fields, without those that concern the connection. */
    HttpHeaders headers();

    /** A response whose complete body is known. */
    record Complete(int status, HttpHeaders headers, byte[] body) implements EntryResponse {}

    /** A response whose body is passed on as it arrives; an error closes the connection. */
    record Streamed(int status, HttpHeaders headers, Flux<byte[]> body) implements EntryResponse {}
}

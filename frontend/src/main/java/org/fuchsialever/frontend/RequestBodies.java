package org.fuchsialever.frontend;

import java.io.ByteArrayOutputStream;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies within a limit. */
public final class RequestBodies {
    private RequestBodies() {}

    /**
     * Reads a whole body.
     *
     * @param request the request
     * @param limitBytes the largest body in bytes
     * @return the body, or {@link RefusedException} with {@link RefusalReason#BODY_TOO_LARGE}
     */
    public static Mono<byte[]> read(HttpServerRequest request, long limitBytes) {
        return request.receive()
                .asByteArray()
                .collect(
                        ByteArrayOutputStream::new,
                        (buffer, chunk) -> {
                            if (buffer.size() + chunk.length > limitBytes) {
                                throw new RefusedException(
                                        Refusal.of(
                                                RefusalReason.BODY_TOO_LARGE,
                                                "the limit is " + limitBytes + " bytes"));
                            }
                            buffer.writeBytes(chunk);
                        })
                .map(ByteArrayOutputStream::toByteArray);
    }
}

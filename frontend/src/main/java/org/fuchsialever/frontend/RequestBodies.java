package org.fuchsialever.frontend;

import java.io.ByteArrayOutputStream;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies within a limit. */
public final class RequestBodies {
    private RequestBodies() {}

    /**
     * Reads a complete body.
     *
     * @param limitBytes the maximum size of the body in bytes
     * @return the body; fails with {@link RefusedException} for {@link
     *     RefusalReason#BODY_TOO_LARGE} if it is larger
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

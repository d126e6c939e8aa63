package org.fuchsialever.frontend;

import java.util.List;
import reactor.core.publisher.Flux;

/**
 * The answer to a call. Cancelling the body cancels the work.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the content; ends with {@link RefusedException} if it cannot be completed
 */
public record CallResponse(int status, List<HeaderField> headers, Flux<byte[]> body) {}

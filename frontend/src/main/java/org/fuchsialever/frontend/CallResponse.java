package org.fuchsialever.frontend;

import java.util.List;
import reactor.core.publisher.Flux;

/**
 * The response to a call. Cancelling the body cancels the call.
 *
 * @param body the content; ends with {@link RefusedException} if it cannot be completed
 */
public record CallResponse(int status, List<HeaderField> headers, Flux<byte[]> body) {}

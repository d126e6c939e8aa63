package org.fuchsialever.node.generation;

import reactor.core.publisher.Mono;

/** Generates texts at engines through the dispatch duty. */
public interface GenerationPort {

    /**
     * Generates one text, resumed at another engine if necessary. Cancelling the result cancels the
     * work.
     *
     * @return the text; fails with {@link org.fuchsialever.frontend.RefusedException}
     */
    Mono<Generation> generate(GenerationRequest request);
}

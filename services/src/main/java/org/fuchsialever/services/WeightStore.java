package org.fuchsialever.services;

import org.fuchsialever.decisions.model.WeightVersion;
import reactor.core.publisher.Mono;

/** The platform's rate-limited store of model weights. */
public interface WeightStore {

    /** Returns the newest version of a model. */
    Mono<WeightVersion> latest(String model);
}

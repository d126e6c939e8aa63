package org.fuchsialever.services;

import java.util.List;
import reactor.core.publisher.Mono;

/** The platform's list of live and leaving instances, which may be outdated. */
public interface InstanceList {

    /** Returns the list. */
    Mono<List<ListedInstance>> list();
}

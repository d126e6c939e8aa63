package org.fuchsialever.services.fake;

import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import reactor.core.publisher.Mono;

/** A fault that a fake injects into a change. */
public enum Fault {
    /** Applies the change and responds. */
    NONE {
        @Override
        <T> Mono<T> inject(Mono<T> change) {
            return change;
        }
    },
    /** The fake is unreachable; the change has no effect and the caller knows it. */
    DOWN {
        @Override
        <T> Mono<T> inject(Mono<T> change) {
            return Mono.error(new PlatformException(Effect.NONE, "the fake is down"));
        }
    },
    /** Loses the request; the change has no effect, which the caller does not know. */
    LOSE_REQUEST {
        @Override
        <T> Mono<T> inject(Mono<T> change) {
            return Mono.error(new PlatformException(Effect.UNKNOWN, "the fake lost the request"));
        }
    },
    /** Applies the change and loses the response. */
    LOSE_ANSWER {
        @Override
        <T> Mono<T> inject(Mono<T> change) {
            return change.then(
                    Mono.error(
                            new PlatformException(Effect.UNKNOWN, "the fake lost the response")));
        }
    };

    abstract <T> Mono<T> inject(Mono<T> change);
}

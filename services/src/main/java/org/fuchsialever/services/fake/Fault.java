package org.fuchsialever.services.fake;

import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import reactor.core.publisher.Mono;

/** What a fake does to a change. */
public enum Fault {
    /** Applies the change and answers. */
    NONE {
        @Override
        <T> Mono<T> around(Mono<T> change) {
            return change;
        }
    },
    /** Cannot be reached; the change has no effect and the caller knows it. */
    DOWN {
        @Override
        <T> Mono<T> around(Mono<T> change) {
            return Mono.error(new PlatformException(Effect.NONE, "the fake is down"));
        }
    },
    /** Loses the request; the change has no effect but the caller does not know it. */
    LOSE_REQUEST {
        @Override
        <T> Mono<T> around(Mono<T> change) {
            return Mono.error(new PlatformException(Effect.UNKNOWN, "the fake lost the request"));
        }
    },
    /** Applies the change and loses the answer. */
    LOSE_ANSWER {
        @Override
        <T> Mono<T> around(Mono<T> change) {
            return change.then(
                    Mono.error(new PlatformException(Effect.UNKNOWN, "the fake lost the answer")));
        }
    };

    abstract <T> Mono<T> around(Mono<T> change);
}

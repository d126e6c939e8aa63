package org.fuchsialever.frontend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/** Authenticates callers and checks whether they may use a route. */
public interface Authenticator {

    /**
     * Checks a caller.
     *
     * @param authorization the value of the {@code Authorization} header, if there is one
     * @return the caller, or the reason why it is refused
     */
    Either<RefusalReason, Caller> authenticate(Option<String> authorization, Route route);
}

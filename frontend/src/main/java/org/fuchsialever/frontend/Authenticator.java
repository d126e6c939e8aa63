package org.fuchsialever.frontend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.dispatch.RefusalReason;

/** Decides who a caller is and whether it may use a route. */
public interface Authenticator {

    /**
     * Checks a caller.
     *
     * @param authorization the value of the {@code Authorization} header, if there is one
     * @param route the route that is called
     * @return the caller, or why it is refused
     */
    Either<RefusalReason, Caller> authenticate(Option<String> authorization, Route route);
}

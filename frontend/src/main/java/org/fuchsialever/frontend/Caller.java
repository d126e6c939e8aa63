package org.fuchsialever.frontend;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * The sender of a request.
 *
 * @param team the team that the request is accounted to
 * @param key the presented key, or none on an open route
 */
public record Caller(TeamName team, Option<KeyId> key) {
    /** The team that calls of open routes without a key are accounted to. */
    public static final TeamName OPEN_TEAM = new TeamName("open");

    /** Returns the caller of an open route that presented no key. */
    public static Caller anonymous() {
        return new Caller(OPEN_TEAM, Option.none());
    }
}

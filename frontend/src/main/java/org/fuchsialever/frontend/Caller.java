package org.fuchsialever.frontend;

import io.vavr.control.Option;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * Who sent a request.
 *
 * @param team the team that pays
 * @param key the key that was shown, or none on an open route
 */
public record Caller(TeamName team, Option<KeyId> key) {
    /** The team to which calls of open routes without a key are accounted. */
    public static final TeamName OPEN_TEAM = new TeamName("open");

    /** Returns the caller of an open route who showed no key. */
    public static Caller anonymous() {
        return new Caller(OPEN_TEAM, Option.none());
    }
}

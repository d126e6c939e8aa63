package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * Properties of a request that dispatch needs; the body stays with the front end.
 *
 * @param team the team that pays; callers of open routes share one team
 * @param promptTokens estimated number of prompt tokens, 0 for plain calls
 * @param maxTokens maximum number of generated tokens, 0 for plain calls
 * @param prefixHash hash of the beginning of the prompt, for cache affinity; 0 if none
 * @param resumable whether another upstream can continue after the last delivered token
 * @param urgency order among the requests of one team, higher first; 0 if not sent for a trainer
 * @param deadlineNanos monotonic time by which the response must be complete
 */
public record DispatchRequest(
        RequestId id,
        TeamName team,
        Route route,
        int promptTokens,
        int maxTokens,
        long prefixHash,
        boolean resumable,
        int urgency,
        long deadlineNanos) {}

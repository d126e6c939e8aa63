package org.fuchsialever.decisions.dispatch;

import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * What the dispatcher knows of a request; its body stays with the front end.
 *
 * @param id its identity
 * @param team the team that pays; callers of open routes share one team
 * @param route its route
 * @param promptTokens estimated number of prompt tokens, 0 for plain calls
 * @param maxTokens the most tokens that may be generated, 0 for plain calls
 * @param prefixHash hash of the beginning of the prompt, for cache affinity; 0 if none
 * @param resumable whether an attempt can go on at another upstream from the last token
 * @param urgency orders the requests of one team, higher first; 0 unless a trainer is behind
 * @param deadlineNanos monotonic time by which the answer must be complete
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

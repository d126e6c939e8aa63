package org.fuchsialever.node.generation;

import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.TeamName;

/**
 * A text to generate.
 *
 * @param id ID of the request
 * @param route the rollout route
 * @param team the team that is charged
 * @param maxTokens limit of the generated tokens
 * @param urgency orders the requests of one team, higher first
 */
public record GenerationRequest(
        RequestId id, Route route, TeamName team, String prompt, int maxTokens, int urgency) {}

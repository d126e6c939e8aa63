package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.TeamName;

/**
 * Demand of a team for one pool, in slots.
 *
 * @param weight weight of the team in fair sharing
 * @param live running and queued live requests
 * @param batch running and queued other requests
 */
public record TeamDemand(TeamName team, int weight, double live, double batch) {}

package org.fuchsialever.decisions.orders;

import org.fuchsialever.decisions.model.TeamName;

/**
 * Requests of a team for one pool, in slots.
 *
 * @param team the team
 * @param weight its weight for fair shares
 * @param live live requests that run or wait
 * @param batch other requests that run or wait
 */
public record TeamDemand(TeamName team, int weight, double live, double batch) {}

package org.fuchsialever.decisions.orders;

import java.util.List;

/**
 * Demand for one pool.
 *
 * @param teams demand of each team in requests
 * @param steps work of trainers with deadlines, not included in the demand of the teams
 */
public record PoolDemand(List<TeamDemand> teams, List<StepDemand> steps) {

    /** Copies the lists. */
    public PoolDemand {
        teams = List.copyOf(teams);
        steps = List.copyOf(steps);
    }

    /** Returns the slots that must remain after the loss of a failure domain. */
    public double guaranteedSlots() {
        double live = teams.stream().mapToDouble(TeamDemand::live).sum();
        return live + steps.stream().mapToDouble(StepDemand::slots).sum();
    }

    /**
     * Returns the slots that all demand could use. Batch work of a team counts only up to the
     * team's share of the maximum capacity, so that the backlog of one team does not scale the pool
     * to its maximum.
     */
    public double totalSlots(double maximumSlots) {
        double weights = Math.max(1, teams.stream().mapToInt(TeamDemand::weight).sum());
        double batch = 0;
        for (TeamDemand team : teams) {
            batch += Math.min(team.batch(), maximumSlots * team.weight() / weights);
        }
        return guaranteedSlots() + batch;
    }
}

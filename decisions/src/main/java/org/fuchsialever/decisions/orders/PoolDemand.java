package org.fuchsialever.decisions.orders;

import java.util.List;

/**
 * Demand for one pool.
 *
 * @param teams requests of each team
 * @param steps work of trainers with deadlines, which is not part of the requests of the teams
 */
public record PoolDemand(List<TeamDemand> teams, List<StepDemand> steps) {

    /** Copies the lists. */
    public PoolDemand {
        teams = List.copyOf(teams);
        steps = List.copyOf(steps);
    }

    /** Returns the slots that must be there even after a failure domain was reclaimed. */
    public double guaranteedSlots() {
        double live = teams.stream().mapToDouble(TeamDemand::live).sum();
        return live + steps.stream().mapToDouble(StepDemand::slots).sum();
    }

    /**
     * Returns the slots that all demand could use. Batch work of a team counts up to the team's
     * share of the greatest capacity, so that a backlog of one team does not buy the whole pool.
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

package org.fuchsialever.decisions.dispatch;

/** Allocates capacity to teams. */
final class ShareAllocator {
    private ShareAllocator() {}

    /**
     * Weighted max-min fair allocation: no team gets more than its demand, and unused capacity goes
     * to the other teams in proportion to their weights.
     *
     * @param capacity the total to allocate
     * @param demands the demand of each team
     * @param weights the weight of each team, in the order of the demands
     * @return the allocation of each team, in the same order
     */
    static double[] allocate(double capacity, double[] demands, double[] weights) {
        double[] shares = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double remaining = capacity;
        boolean progress = true;
        while (progress && remaining > 0) {
            progress = false;
            double weight = unsatisfiedWeight(weights, satisfied);
            double unit = weight == 0 ? 0 : remaining / weight;
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= unit * weights[i]) {
                    shares[i] = demands[i];
                    remaining -= demands[i];
                    satisfied[i] = true;
                    progress = true;
                }
            }
            if (!progress) {
                for (int i = 0; i < demands.length; i++) {
                    if (!satisfied[i]) {
                        shares[i] = unit * weights[i];
                    }
                }
            }
        }
        return shares;
    }

    private static double unsatisfiedWeight(double[] weights, boolean[] satisfied) {
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            sum += satisfied[i] ? 0 : weights[i];
        }
        return sum;
    }
}

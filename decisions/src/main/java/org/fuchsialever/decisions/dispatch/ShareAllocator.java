package org.fuchsialever.decisions.dispatch;

/** Divides capacity between teams. */
final class ShareAllocator {
    private ShareAllocator() {}

    /**
     * Weighted max-min fair division: no team gets more than it asks for, and what it leaves goes
     * to the others in proportion to their weights.
     *
     * @param capacity what is divided
     * @param demands what each team asks for
     * @param weights the weight of each team
     * @return what each team gets
     */
    static double[] allocate(double capacity, double[] demands, double[] weights) {
        double[] shares = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double left = capacity;
        boolean progress = true;
        while (progress && left > 0) {
            progress = false;
            double weight = unsatisfiedWeight(weights, satisfied);
            double unit = weight == 0 ? 0 : left / weight;
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= unit * weights[i]) {
                    shares[i] = demands[i];
                    left -= demands[i];
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

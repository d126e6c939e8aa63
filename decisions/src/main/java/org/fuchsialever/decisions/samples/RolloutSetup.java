package org.fuchsialever.decisions.samples;

import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * What all trainers of a rollout duty share.
 *
 * @param writer identity of this start of the instance, for commits and objects
 * @param limits the limits
 * @param policy what is done about stragglers
 * @param predictor predicts lengths
 * @param random spreads retries
 * @param invariants receives the result of checks
 */
public record RolloutSetup(
        String writer,
        RolloutLimits limits,
        StragglerPolicy policy,
        LengthPredictor predictor,
        RandomGenerator random,
        InvariantMonitor invariants) {}

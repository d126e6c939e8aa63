package org.fuchsialever.decisions.samples;

import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.invariant.InvariantMonitor;

/**
 * Dependencies shared by all trainers of a rollout duty.
 *
 * @param writer start ID of this instance; prefix of the IDs of commits and objects
 * @param policy handling of stragglers
 * @param predictor predicts the length of samples in tokens
 * @param random source of the jitter of retries
 * @param invariants receives the results of checks
 */
public record RolloutSetup(
        String writer,
        RolloutLimits limits,
        StragglerPolicy policy,
        LengthPredictor predictor,
        RandomGenerator random,
        InvariantMonitor invariants) {}

/** Experiments on the rollout of weights. */
@NullMarked
package org.fuchsialever.benchmarks.weights;

import org.jspecify.annotations.NullMarked;

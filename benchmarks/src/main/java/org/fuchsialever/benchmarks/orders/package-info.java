/** Experiments on the capacity of a pool. */
@NullMarked
package org.fuchsialever.benchmarks.orders;

import org.jspecify.annotations.NullMarked;

/** Experiments on the cost of membership. */
@NullMarked
package org.fuchsialever.benchmarks.peers;

import org.jspecify.annotations.NullMarked;

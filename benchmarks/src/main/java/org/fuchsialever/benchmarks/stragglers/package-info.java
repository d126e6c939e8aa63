/** Experiments with the policies against stragglers. */
@NullMarked
package org.fuchsialever.benchmarks.stragglers;

import org.jspecify.annotations.NullMarked;

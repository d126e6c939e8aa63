/** JMH benchmarks and policy experiments. */
@NullMarked
package org.fuchsialever.benchmarks;

import org.jspecify.annotations.NullMarked;

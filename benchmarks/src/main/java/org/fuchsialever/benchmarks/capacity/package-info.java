/** Measurements of state, messages and processor time at several sizes. */
@NullMarked
package org.fuchsialever.benchmarks.capacity;

import org.jspecify.annotations.NullMarked;

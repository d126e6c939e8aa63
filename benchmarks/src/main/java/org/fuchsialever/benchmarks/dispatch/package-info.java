/** Experiments that compare dispatch policies on small models of engines under a manual clock. */
@NullMarked
package org.fuchsialever.benchmarks.dispatch;

import org.jspecify.annotations.NullMarked;

/** Capacity of pools: the planner and the duty that starts and stops upstreams. */
@NullMarked
package org.fuchsialever.decisions.orders;

import org.jspecify.annotations.NullMarked;

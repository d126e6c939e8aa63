/** Ordering of upstreams: the planner for the capacity of a pool and the duty that orders. */
@NullMarked
package org.fuchsialever.decisions.orders;

import org.jspecify.annotations.NullMarked;

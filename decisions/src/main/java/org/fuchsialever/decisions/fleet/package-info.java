/** The upstreams of a hosted deployment, their observed state and load balancing among them. */
@NullMarked
package org.fuchsialever.decisions.fleet;

import org.jspecify.annotations.NullMarked;

/** The upstreams of a hosted deployment and the choice among them. */
@NullMarked
package org.fuchsialever.decisions.fleet;

import org.jspecify.annotations.NullMarked;

/** Generation of samples at engines, for rollouts. */
@NullMarked
package org.fuchsialever.node.generation;

import org.jspecify.annotations.NullMarked;

/** Moves upstreams to the weight versions that trainers name. */
@NullMarked
package org.fuchsialever.node.version;

import org.jspecify.annotations.NullMarked;

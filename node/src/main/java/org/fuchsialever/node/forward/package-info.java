/** Forwards calls and items to upstreams. */
@NullMarked
package org.fuchsialever.node.forward;

import org.jspecify.annotations.NullMarked;

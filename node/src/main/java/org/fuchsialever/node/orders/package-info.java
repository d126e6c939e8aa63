/** Ordering of upstreams. */
@NullMarked
package org.fuchsialever.node.orders;

import org.jspecify.annotations.NullMarked;

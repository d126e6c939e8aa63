/** Polling of upstreams. */
@NullMarked
package org.fuchsialever.node.watch;

import org.jspecify.annotations.NullMarked;

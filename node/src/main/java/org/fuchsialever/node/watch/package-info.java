/** Component that polls the upstreams. */
@NullMarked
package org.fuchsialever.node.watch;

import org.jspecify.annotations.NullMarked;

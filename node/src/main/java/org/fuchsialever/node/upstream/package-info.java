/** HTTP client for upstreams. */
@NullMarked
package org.fuchsialever.node.upstream;

import org.jspecify.annotations.NullMarked;

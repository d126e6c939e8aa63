/** HTTP exchanges with upstreams over pooled connections. */
@NullMarked
package org.fuchsialever.services.exchange;

import org.jspecify.annotations.NullMarked;

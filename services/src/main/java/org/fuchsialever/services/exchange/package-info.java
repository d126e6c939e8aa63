/** HTTP exchanges with upstreams over kept connections. */
@NullMarked
package org.fuchsialever.services.exchange;

import org.jspecify.annotations.NullMarked;

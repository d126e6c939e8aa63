/** Leases that this instance holds. */
@NullMarked
package org.fuchsialever.node.lease;

import org.jspecify.annotations.NullMarked;

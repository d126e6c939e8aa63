/** Configuration and keys that a peer fetches when it starts without the table service. */
@NullMarked
package org.fuchsialever.node.peerstate;

import org.jspecify.annotations.NullMarked;

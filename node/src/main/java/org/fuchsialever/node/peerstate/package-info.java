/** Configuration and keys that instances give to a peer that starts without the table service. */
@NullMarked
package org.fuchsialever.node.peerstate;

import org.jspecify.annotations.NullMarked;

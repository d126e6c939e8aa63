/** Messages to and from the other instances. */
@NullMarked
package org.fuchsialever.node.peers;

import org.jspecify.annotations.NullMarked;

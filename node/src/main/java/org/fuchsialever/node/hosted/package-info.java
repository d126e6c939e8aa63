/** The platform that hosts the node, and the signal of its shutdown. */
@NullMarked
package org.fuchsialever.node.hosted;

import org.jspecify.annotations.NullMarked;

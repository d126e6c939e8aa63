/** Connects keys, configuration and dispatch to the messages of other instances. */
@NullMarked
package org.fuchsialever.node.exchange;

import org.jspecify.annotations.NullMarked;

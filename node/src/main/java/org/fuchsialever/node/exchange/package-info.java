/** Joins keys, configuration and dispatch with the messages of other instances. */
@NullMarked
package org.fuchsialever.node.exchange;

import org.jspecify.annotations.NullMarked;

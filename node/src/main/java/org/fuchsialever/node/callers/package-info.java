/** Bounds on the connections and heads of clients, for every HTTP port of an instance. */
@NullMarked
package org.fuchsialever.node.callers;

import org.jspecify.annotations.NullMarked;

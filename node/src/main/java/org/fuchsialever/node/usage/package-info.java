/** Counts usage of teams and routes, stores it and reports it window by window. */
@NullMarked
package org.fuchsialever.node.usage;

import org.jspecify.annotations.NullMarked;

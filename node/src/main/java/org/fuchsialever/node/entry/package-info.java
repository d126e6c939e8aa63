/** HTTP server for callers on a hosting platform. */
@NullMarked
package org.fuchsialever.node.entry;

import org.jspecify.annotations.NullMarked;

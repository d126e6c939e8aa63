/** Checks of callers' keys. */
@NullMarked
package org.fuchsialever.node.keys;

import org.jspecify.annotations.NullMarked;

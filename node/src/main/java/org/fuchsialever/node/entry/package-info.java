/** HTTP towards callers on a hosting platform. */
@NullMarked
package org.fuchsialever.node.entry;

import org.jspecify.annotations.NullMarked;

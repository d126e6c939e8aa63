/** The mirrored tables and their listeners. */
@NullMarked
package org.fuchsialever.node.directory;

import org.jspecify.annotations.NullMarked;

/** How the bytes that callers send and wait for share the memory of an instance. */
@NullMarked
package org.fuchsialever.decisions.memory;

import org.jspecify.annotations.NullMarked;

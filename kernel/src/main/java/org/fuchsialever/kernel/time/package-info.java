/** Clocks that can be replaced in tests. */
@NullMarked
package org.fuchsialever.kernel.time;

import org.jspecify.annotations.NullMarked;

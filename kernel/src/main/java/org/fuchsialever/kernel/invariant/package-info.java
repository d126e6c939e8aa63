/** Properties that must always hold, checked while the program runs. */
@NullMarked
package org.fuchsialever.kernel.invariant;

import org.jspecify.annotations.NullMarked;

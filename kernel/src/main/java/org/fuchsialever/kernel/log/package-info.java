/** Log output with a fixed prefix for each part of the system. */
@NullMarked
package org.fuchsialever.kernel.log;

import org.jspecify.annotations.NullMarked;

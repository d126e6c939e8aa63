/** Log output, prefixed with the name of the part of the system that writes it. */
@NullMarked
package org.fuchsialever.kernel.log;

import org.jspecify.annotations.NullMarked;

/** Problems found in user input, collected with their locations and reported together. */
@NullMarked
package org.fuchsialever.kernel.findings;

import org.jspecify.annotations.NullMarked;

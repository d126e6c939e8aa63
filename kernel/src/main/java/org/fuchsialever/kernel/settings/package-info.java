/** Typed reading of INI settings with findings for every problem. */
@NullMarked
package org.fuchsialever.kernel.settings;

import org.jspecify.annotations.NullMarked;

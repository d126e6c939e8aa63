/** Randomised runs of the duties of several instances under faults, stepped by one thread. */
@NullMarked
package org.fuchsialever.cli.soak;

import org.jspecify.annotations.NullMarked;

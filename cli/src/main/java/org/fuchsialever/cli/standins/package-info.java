/** The command that starts stand-ins for trying instances out. */
@NullMarked
package org.fuchsialever.cli.standins;

import org.jspecify.annotations.NullMarked;

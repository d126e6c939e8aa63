/** The command that runs stand-ins, for testing instances locally. */
@NullMarked
package org.fuchsialever.cli.standins;

import org.jspecify.annotations.NullMarked;

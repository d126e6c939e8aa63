/** The command line for operators and for trying the service out. */
@NullMarked
package org.fuchsialever.cli;

import org.jspecify.annotations.NullMarked;

/** The command interface: registration, options, exit codes and output. */
@NullMarked
package org.fuchsialever.cli.command;

import org.jspecify.annotations.NullMarked;

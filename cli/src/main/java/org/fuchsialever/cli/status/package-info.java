/** The command that shows the state of all listed instances. */
@NullMarked
package org.fuchsialever.cli.status;

import org.jspecify.annotations.NullMarked;

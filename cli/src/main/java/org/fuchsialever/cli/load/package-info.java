/** The command that loads an instance with calls and measures the answers. */
@NullMarked
package org.fuchsialever.cli.load;

import org.jspecify.annotations.NullMarked;

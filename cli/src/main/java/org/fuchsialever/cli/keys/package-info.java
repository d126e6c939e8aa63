/** The command that grants, lists and withdraws keys. */
@NullMarked
package org.fuchsialever.cli.keys;

import org.jspecify.annotations.NullMarked;

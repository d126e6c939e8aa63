/** The command {@code usage}. */
@NullMarked
package org.fuchsialever.cli.usage;

import org.jspecify.annotations.NullMarked;

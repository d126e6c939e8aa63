/** The command {@code demo}: a small deployment in one process, with checks of what must hold. */
@NullMarked
package org.fuchsialever.cli.demo;

import org.jspecify.annotations.NullMarked;

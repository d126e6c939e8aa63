/** The command {@code audit}. */
@NullMarked
package org.fuchsialever.cli.audit;

import org.jspecify.annotations.NullMarked;

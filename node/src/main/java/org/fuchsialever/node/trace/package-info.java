/** Structured log lines for each decision. */
@NullMarked
package org.fuchsialever.node.trace;

import org.jspecify.annotations.NullMarked;

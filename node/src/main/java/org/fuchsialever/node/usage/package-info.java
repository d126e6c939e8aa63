/** Counting, storing and reporting of usage. */
@NullMarked
package org.fuchsialever.node.usage;

import org.jspecify.annotations.NullMarked;

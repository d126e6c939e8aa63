/** Membership of this instance in the working set. */
@NullMarked
package org.fuchsialever.node.workingset;

import org.jspecify.annotations.NullMarked;

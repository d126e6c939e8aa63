/** Messages between instances and their transport. */
@NullMarked
package org.fuchsialever.wire;

import org.jspecify.annotations.NullMarked;

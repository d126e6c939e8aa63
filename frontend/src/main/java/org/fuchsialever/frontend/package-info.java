/** HTTP towards callers, trainers and operators; ports that the node implements. */
@NullMarked
package org.fuchsialever.frontend;

import org.jspecify.annotations.NullMarked;

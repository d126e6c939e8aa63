/** HTTP endpoints for trainers. */
@NullMarked
package org.fuchsialever.frontend.rollout;

import org.jspecify.annotations.NullMarked;

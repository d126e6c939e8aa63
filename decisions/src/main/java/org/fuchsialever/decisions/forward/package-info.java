/** Attempts, retries, queues and refusals of forwarded calls and generated items. */
@NullMarked
package org.fuchsialever.decisions.forward;

import org.jspecify.annotations.NullMarked;

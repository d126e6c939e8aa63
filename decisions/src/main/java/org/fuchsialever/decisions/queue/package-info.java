/**
 * The order of waiting calls, fair shares of a pool that is short, and refusals for lack of room.
 */
@NullMarked
package org.fuchsialever.decisions.queue;

import org.jspecify.annotations.NullMarked;

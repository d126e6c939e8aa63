/** Single-threaded state machines, their bounded inboxes and the threads that run them. */
@NullMarked
package org.fuchsialever.kernel.duty;

import org.jspecify.annotations.NullMarked;

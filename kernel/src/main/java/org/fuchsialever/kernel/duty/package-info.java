/** Single-writer state machines, their bounded inboxes and the threads that drive them. */
@NullMarked
package org.fuchsialever.kernel.duty;

import org.jspecify.annotations.NullMarked;

/** How connections of callers, and the heads of their requests, share an instance. */
@NullMarked
package org.fuchsialever.decisions.callers;

import org.jspecify.annotations.NullMarked;

/** Bounded reading of response bodies. */
@NullMarked
package org.fuchsialever.services.body;

import org.jspecify.annotations.NullMarked;

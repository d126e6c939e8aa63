/** Release of resources in reverse order of their acquisition. */
@NullMarked
package org.fuchsialever.kernel.lifecycle;

import org.jspecify.annotations.NullMarked;

/** Release of resources in the reverse order of their registration. */
@NullMarked
package org.fuchsialever.kernel.lifecycle;

import org.jspecify.annotations.NullMarked;

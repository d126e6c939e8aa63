/** What the node needs from the platform that hosts it. */
@NullMarked
package org.fuchsialever.services.hosted;

import org.jspecify.annotations.NullMarked;

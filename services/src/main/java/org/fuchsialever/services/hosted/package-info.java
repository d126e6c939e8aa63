/** Interfaces to a platform that hosts the node. */
@NullMarked
package org.fuchsialever.services.hosted;

import org.jspecify.annotations.NullMarked;

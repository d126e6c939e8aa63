/** Access to the platform that the settings choose. */
@NullMarked
package org.fuchsialever.node.platform;

import org.jspecify.annotations.NullMarked;

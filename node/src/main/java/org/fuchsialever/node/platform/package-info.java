/** Access to the platform that the settings select. */
@NullMarked
package org.fuchsialever.node.platform;

import org.jspecify.annotations.NullMarked;

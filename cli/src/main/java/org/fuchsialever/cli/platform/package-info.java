/** Base classes of the commands that use the platform. */
@NullMarked
package org.fuchsialever.cli.platform;

import org.jspecify.annotations.NullMarked;

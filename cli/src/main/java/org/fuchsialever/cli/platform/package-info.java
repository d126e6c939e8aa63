/** What the commands that change the platform's tables share. */
@NullMarked
package org.fuchsialever.cli.platform;

import org.jspecify.annotations.NullMarked;

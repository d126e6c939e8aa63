/** Command line tools for operating and testing the service. */
@NullMarked
package org.fuchsialever.cli;

import org.jspecify.annotations.NullMarked;

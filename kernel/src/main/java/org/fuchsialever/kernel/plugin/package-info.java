/** Discovery of plug-ins and assembly of components by what they require and provide. */
@NullMarked
package org.fuchsialever.kernel.plugin;

import org.jspecify.annotations.NullMarked;

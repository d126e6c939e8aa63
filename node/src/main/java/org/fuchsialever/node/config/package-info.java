/** Where the configuration in force comes from. */
@NullMarked
package org.fuchsialever.node.config;

import org.jspecify.annotations.NullMarked;

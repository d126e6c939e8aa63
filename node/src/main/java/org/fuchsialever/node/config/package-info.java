/** Reading and publishing of the configuration in force. */
@NullMarked
package org.fuchsialever.node.config;

import org.jspecify.annotations.NullMarked;

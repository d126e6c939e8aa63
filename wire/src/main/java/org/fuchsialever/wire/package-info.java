/** Encoding and transport of messages between instances. */
@NullMarked
package org.fuchsialever.wire;

import org.jspecify.annotations.NullMarked;

/** The front end of an instance. */
@NullMarked
package org.fuchsialever.node.http;

import org.jspecify.annotations.NullMarked;

/** Assembly of one response from the streams of successive attempts. */
@NullMarked
package org.fuchsialever.decisions.dispatch.stream;

import org.jspecify.annotations.NullMarked;

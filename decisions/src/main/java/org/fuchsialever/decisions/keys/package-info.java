/** Caller keys: the table that checks them and the duty that keeps it up to date. */
@NullMarked
package org.fuchsialever.decisions.keys;

import org.jspecify.annotations.NullMarked;

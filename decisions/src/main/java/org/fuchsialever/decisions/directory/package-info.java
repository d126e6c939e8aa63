/** Local mirrors of the store tables that every instance needs. */
@NullMarked
package org.fuchsialever.decisions.directory;

import org.jspecify.annotations.NullMarked;

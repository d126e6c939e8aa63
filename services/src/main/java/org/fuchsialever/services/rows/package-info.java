/** A transactional row store with change feeds. */
@NullMarked
package org.fuchsialever.services.rows;

import org.jspecify.annotations.NullMarked;

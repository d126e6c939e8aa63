/** Claims of requests with an Idempotency-Key in the table service. */
@NullMarked
package org.fuchsialever.node.claims;

import org.jspecify.annotations.NullMarked;

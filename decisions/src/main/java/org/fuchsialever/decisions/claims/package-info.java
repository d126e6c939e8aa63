/** Claims that make requests with an idempotency key of their caller run at most once. */
@NullMarked
package org.fuchsialever.decisions.claims;

import org.jspecify.annotations.NullMarked;

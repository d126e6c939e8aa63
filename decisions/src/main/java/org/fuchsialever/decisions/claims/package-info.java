/** Claims that let a request with an identity of its caller run at most once. */
@NullMarked
package org.fuchsialever.decisions.claims;

import org.jspecify.annotations.NullMarked;

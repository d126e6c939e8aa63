/** Admission, queueing, choice of an upstream, retries and outcomes of requests. */
@NullMarked
package org.fuchsialever.decisions.dispatch;

import org.jspecify.annotations.NullMarked;

/** In-memory platform services with fault injection, for tests without sockets and real time. */
@NullMarked
package org.fuchsialever.services.fake;

import org.jspecify.annotations.NullMarked;

/** In-memory platform services with faults, for tests that use no sockets and no real time. */
@NullMarked
package org.fuchsialever.services.fake;

import org.jspecify.annotations.NullMarked;

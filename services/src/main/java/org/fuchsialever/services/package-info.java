/** Interfaces to the platform that the instances run on. */
@NullMarked
package org.fuchsialever.services;

import org.jspecify.annotations.NullMarked;

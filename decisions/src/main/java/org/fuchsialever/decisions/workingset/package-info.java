/**
 * The working set: the few instances of a fleet that own submissions, hold roles and write
 * heartbeats, so that the cost of an instance does not grow with the number of instances.
 */
@NullMarked
package org.fuchsialever.decisions.workingset;

import org.jspecify.annotations.NullMarked;

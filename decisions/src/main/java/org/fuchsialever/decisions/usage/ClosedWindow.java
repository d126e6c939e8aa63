package org.fuchsialever.decisions.usage;

/**
 * A window whose figures cannot change any more.
 *
 * @param fencing fencing number of the holder that fixed it
 * @param report the exact text of the report
 */
public record ClosedWindow(long fencing, String report) {}

package org.fuchsialever.decisions.usage;

/**
 * A window whose usage counts can no longer change.
 *
 * @param fencing fencing token of the lease holder that closed it
 * @param report text of the report, byte for byte
 */
public record ClosedWindow(long fencing, String report) {}

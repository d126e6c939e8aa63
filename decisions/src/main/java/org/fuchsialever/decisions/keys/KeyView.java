package org.fuchsialever.decisions.keys;

/**
 * Current view of the keys on an instance.
 *
 * @param version the highest row version among the keys
 * @param usable whether keyed calls may be served; false if withdrawals may have been missed
 */
public record KeyView(KeyTable table, long version, boolean usable) {
    /** The view of an instance that knows no keys yet. */
    public static final KeyView NONE = new KeyView(KeyTable.EMPTY, 0, false);
}

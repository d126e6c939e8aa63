package org.fuchsialever.decisions.keys;

/**
 * How an instance checks keys at the moment.
 *
 * @param table the keys
 * @param version the highest row version among them
 * @param usable whether keyed calls may be served; false if withdrawals may have been missed
 */
public record KeyView(KeyTable table, long version, boolean usable) {
    /** The view of an instance that knows no keys yet. */
    public static final KeyView NONE = new KeyView(KeyTable.EMPTY, 0, false);
}

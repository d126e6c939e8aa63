package org.fuchsialever.services.exchange;

/** A running exchange. */
@FunctionalInterface
public interface Exchange {

    /** Ends the exchange and closes its connection; does nothing after its end. */
    void cancel();
}

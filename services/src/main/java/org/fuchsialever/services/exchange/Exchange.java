package org.fuchsialever.services.exchange;

/** A request in progress. */
@FunctionalInterface
public interface Exchange {

    /** Cancels the exchange and closes its connection; does nothing after its end. */
    void cancel();
}

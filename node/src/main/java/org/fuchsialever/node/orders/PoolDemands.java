package org.fuchsialever.node.orders;

import java.util.function.Consumer;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.orders.PoolDemand;

/** Source of the demand for each pool. */
@FunctionalInterface
public interface PoolDemands {

    /** Adds a listener for the demand of a pool; it must not block. */
    void addListener(PoolName pool, Consumer<PoolDemand> listener);
}

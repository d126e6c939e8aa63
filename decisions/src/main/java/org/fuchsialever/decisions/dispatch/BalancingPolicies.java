package org.fuchsialever.decisions.dispatch;

import java.util.Collection;
import java.util.List;
import org.fuchsialever.kernel.plugin.Plugin;
import org.fuchsialever.kernel.plugin.PluginProvider;

/** Registers the balancing policies. */
public final class BalancingPolicies implements PluginProvider {

    @Override
    public Class<? extends Plugin> kind() {
        return BalancingPolicy.class;
    }

    @Override
    public Collection<? extends Plugin> plugins() {
        return List.of(BalancingPolicy.values());
    }
}

package org.fuchsialever.node;

import java.util.Set;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.Names;
import org.fuchsialever.kernel.invariant.CountingInvariantMonitor;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Provides the identity of the instance and its invariant monitor. */
public final class IdentityComponent implements Component {
    private static final String MSG_BAD_NAME = "node.bad-name";
    private static final String SECTION = "node";

    private String mName = "";
    private String mRegion = "";
    private String mDomain = "";

    @Override
    public String pluginName() {
        return "identity";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of();
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(NodeIdentity.class, InvariantMonitor.class, CountingInvariantMonitor.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        mName = readName(settings, "name");
        mRegion = readName(settings, "region");
        mDomain = readName(settings, "failure-domain");
    }

    @Override
    public void install(ComponentContext context) {
        context.provide(
                NodeIdentity.class,
                NodeIdentity.startNow(new InstanceId(mName), mRegion, new FailureDomain(mDomain)));
        CountingInvariantMonitor monitor = new CountingInvariantMonitor(context.meters());
        context.provide(CountingInvariantMonitor.class, monitor);
        context.provide(InvariantMonitor.class, monitor);
    }

    private static String readName(SettingsReader settings, String key) {
        String value = settings.requiredText(SECTION, key);
        if (!value.isEmpty() && !Names.isValid(value)) {
            settings.findings()
                    .error(
                            settings.location(SECTION, key),
                            MSG_BAD_NAME,
                            "\"%s\" is not a name; it needs %s",
                            value,
                            Names.RULE);
        }
        return value;
    }
}

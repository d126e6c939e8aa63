package org.fuchsialever.kernel.plugin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Orders components so that each is installed after those whose services it requires. */
public final class Assembly {
    private static final String MSG_MISSING = "component.missing-requirement";
    private static final String MSG_CYCLE = "component.cycle";
    private static final String MSG_PROVIDED_TWICE = "component.provided-twice";

    private final List<Component> mOrdered;

    private Assembly(List<Component> ordered) {
        mOrdered = ordered;
    }

    /**
     * Sorts components topologically by their requirements. Components that do not depend on one
     * another keep the given order.
     *
     * @param findings receives errors for missing requirements, duplicate providers and cycles
     * @return the assembly; it must not be installed if there are errors
     */
    public static Assembly of(Collection<? extends Component> components, Findings findings) {
        checkProviders(components, findings);
        List<Component> remaining = new ArrayList<>(components);
        List<Component> ordered = new ArrayList<>();
        Set<Class<?>> provided = new HashSet<>();
        boolean progress = true;
        while (progress && !remaining.isEmpty()) {
            progress = false;
            for (Component component : List.copyOf(remaining)) {
                if (provided.containsAll(component.requires())) {
                    remaining.remove(component);
                    ordered.add(component);
                    provided.addAll(component.provides());
                    progress = true;
                }
            }
        }
        for (Component component : remaining) {
            findings.error(
                    Location.ofKey(component.pluginName()),
                    MSG_CYCLE,
                    "cannot be installed because its requirements depend on one another or are"
                            + " missing");
        }
        return new Assembly(ordered);
    }

    /** Lets each component read its settings; problems become findings of the reader. */
    public void configure(SettingsReader settings) {
        for (Component component : mOrdered) {
            component.configure(settings);
        }
    }

    /** Installs the components in order. */
    public void install(ComponentContext context) {
        for (Component component : mOrdered) {
            component.install(context);
        }
    }

    /** Returns the components in the order of installation. */
    public List<Component> components() {
        return List.copyOf(mOrdered);
    }

    private static void checkProviders(
            Collection<? extends Component> components, Findings findings) {
        Map<Class<?>, Component> providers = new HashMap<>();
        for (Component component : components) {
            for (Class<?> type : component.provides()) {
                Component earlier = providers.putIfAbsent(type, component);
                if (earlier != null) {
                    findings.error(
                            Location.ofKey(component.pluginName()),
                            MSG_PROVIDED_TWICE,
                            "%s is also provided by %s",
                            type.getSimpleName(),
                            earlier.pluginName());
                }
            }
        }
        for (Component component : components) {
            for (Class<?> type : component.requires()) {
                if (!providers.containsKey(type)) {
                    findings.error(
                            Location.ofKey(component.pluginName()),
                            MSG_MISSING,
                            "%s is required but no selected component provides it",
                            type.getSimpleName());
                }
            }
        }
    }
}

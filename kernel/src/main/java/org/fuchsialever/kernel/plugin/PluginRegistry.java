package org.fuchsialever.kernel.plugin;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;

/** All plug-ins that registered themselves, by kind and name. */
public final class PluginRegistry {
    private static final String MSG_DUPLICATE = "plugin.duplicate";
    private static final String MSG_UNKNOWN = "plugin.unknown";

    private final Map<Class<? extends Plugin>, Map<String, Plugin>> mPlugins =
            new LinkedHashMap<>();

    private PluginRegistry() {}

    /**
     * Loads the providers on the class path.
     *
     * @param findings receives one error for each name that is registered twice for a kind
     */
    public static PluginRegistry discover(Findings findings) {
        List<PluginProvider> providers = new ArrayList<>();
        ServiceLoader.load(PluginProvider.class).forEach(providers::add);
        return of(providers, findings);
    }

    /**
     * Builds a registry from the given providers.
     *
     * @param providers the providers, in order of registration
     * @param findings receives one error for each name that is registered twice for a kind
     */
    public static PluginRegistry of(
            Collection<? extends PluginProvider> providers, Findings findings) {
        PluginRegistry registry = new PluginRegistry();
        for (PluginProvider provider : providers) {
            for (Plugin plugin : provider.plugins()) {
                registry.register(provider.kind(), plugin, findings);
            }
        }
        return registry;
    }

    /** Returns all plug-ins of a kind, sorted by name. */
    public <T extends Plugin> List<T> all(Class<T> kind) {
        List<T> result = new ArrayList<>();
        for (Plugin plugin : mPlugins.getOrDefault(kind, Map.of()).values()) {
            result.add(kind.cast(plugin));
        }
        return result;
    }

    /**
     * Looks up one plug-in.
     *
     * @param name the name from the settings
     * @param location where the settings contain the name
     * @param findings receives an error that lists the known names if there is no such plug-in
     * @return the plug-in, or none
     */
    public <T extends Plugin> Option<T> select(
            Class<T> kind, String name, Location location, Findings findings) {
        Map<String, Plugin> named = mPlugins.getOrDefault(kind, Map.of());
        Plugin plugin = named.get(name);
        if (plugin == null) {
            findings.error(
                    location,
                    MSG_UNKNOWN,
                    "\"%s\" is not registered; known names are %s",
                    name,
                    named.keySet());
            return Option.none();
        }
        return Option.some(kind.cast(plugin));
    }

    private void register(Class<? extends Plugin> kind, Plugin plugin, Findings findings) {
        Map<String, Plugin> named = mPlugins.computeIfAbsent(kind, k -> new TreeMap<>());
        Plugin earlier = named.putIfAbsent(plugin.pluginName(), plugin);
        if (earlier != null) {
            findings.error(
                    Location.ofKey(plugin.pluginName()),
                    MSG_DUPLICATE,
                    "%s is registered twice, by %s and %s",
                    kind.getSimpleName(),
                    earlier.getClass().getName(),
                    plugin.getClass().getName());
        }
    }
}

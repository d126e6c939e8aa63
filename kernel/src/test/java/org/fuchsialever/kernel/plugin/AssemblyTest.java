package org.fuchsialever.kernel.plugin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.fuchsialever.kernel.findings.Finding;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.findings.Location;
import org.junit.jupiter.api.Test;

class AssemblyTest {
    private final Findings mFindings = new Findings();

    @Test
    void installsAComponentAfterThoseThatItRequires() {
        Component user = component("user", Set.of(String.class), Set.of());
        Component provider = component("provider", Set.of(), Set.of(String.class));

        Assembly assembly = Assembly.of(List.of(user, provider), mFindings);

        assertThat(assembly.components(), contains(provider, user));
        assertThat(mFindings.isEmpty(), is(true));
    }

    @Test
    void reportsAMissingRequirement() {
        Assembly.of(List.of(component("user", Set.of(String.class), Set.of())), mFindings);

        assertThat(messageKeys(), hasItem("component.missing-requirement"));
    }

    @Test
    void reportsACycle() {
        Component first = component("first", Set.of(String.class), Set.of(Integer.class));
        Component second = component("second", Set.of(Integer.class), Set.of(String.class));

        Assembly.of(List.of(first, second), mFindings);

        assertThat(messageKeys(), contains("component.cycle", "component.cycle"));
    }

    @Test
    void reportsANameThatIsRegisteredTwiceAndOneThatIsUnknown() {
        Component once = component("same", Set.of(), Set.of());
        Component twice = component("same", Set.of(), Set.of());
        PluginProvider provider =
                new PluginProvider() {
                    @Override
                    public Class<? extends Plugin> kind() {
                        return Component.class;
                    }

                    @Override
                    public List<Component> plugins() {
                        return List.of(once, twice);
                    }
                };

        PluginRegistry registry = PluginRegistry.of(List.of(provider), mFindings);
        registry.select(Component.class, "other", Location.ofKey("components"), mFindings);

        assertThat(messageKeys(), contains("plugin.duplicate", "plugin.unknown"));
    }

    private List<String> messageKeys() {
        return mFindings.list().stream().map(Finding::messageKey).toList();
    }

    private static Component component(
            String name, Set<Class<?>> requires, Set<Class<?>> provides) {
        return new Component() {
            @Override
            public String pluginName() {
                return name;
            }

            @Override
            public Set<Class<?>> requires() {
                return requires;
            }

            @Override
            public Set<Class<?>> provides() {
                return provides;
            }

            @Override
            public void install(ComponentContext context) {}
        };
    }
}

package org.fuchsialever.node.config;

import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.fuchsialever.decisions.config.ConfigSnapshot;
import org.fuchsialever.decisions.config.TableParser;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Reads the tables from two files at start, for a stand-alone instance without the platform. */
public final class TableFilesComponent implements Component {
    private static final String MSG_UNREADABLE = "tables.unreadable";
    private static final String SECTION = "tables";

    private Option<ConfigSnapshot> mSnapshot = Option.none();

    @Override
    public String pluginName() {
        return "table-files";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(InvariantMonitor.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(ConfigHolder.class);
    }

    @Override
    public void configure(SettingsReader settings) {
        String routes = settings.requiredText(SECTION, "routes");
        String pools = settings.requiredText(SECTION, "pools");
        Option<String> routesText = readFile(settings, "routes", routes);
        Option<String> poolsText = readFile(settings, "pools", pools);
        if (routesText.isDefined() && poolsText.isDefined()) {
            mSnapshot =
                    TableParser.parse(
                            1,
                            routes,
                            routesText.get(),
                            pools,
                            poolsText.get(),
                            settings.findings());
        }
    }

    @Override
    public void install(ComponentContext context) {
        ConfigHolder holder = new ConfigHolder(context.require(InvariantMonitor.class));
        mSnapshot.forEach(holder::publish);
        context.provide(ConfigHolder.class, holder);
    }

    private static Option<String> readFile(SettingsReader settings, String key, String file) {
        if (file.isEmpty()) {
            return Option.none();
        }
        try {
            return Option.some(Files.readString(Path.of(file)));
        } catch (IOException e) {
            settings.findings()
                    .error(
                            settings.location(SECTION, key),
                            MSG_UNREADABLE,
                            "\"%s\" cannot be read: %s",
                            file,
                            e);
            return Option.none();
        }
    }
}

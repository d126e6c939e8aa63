package org.fuchsialever.node;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.lifecycle.StopRequest;
import org.fuchsialever.kernel.log.PartLogger;
import org.fuchsialever.kernel.plugin.Assembly;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.kernel.plugin.PluginRegistry;
import org.fuchsialever.kernel.settings.IniDocument;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.SystemTimeSource;

/** A running instance. */
public final class NodeProcess implements AutoCloseable {
    private static final PartLogger LOG = PartLogger.of("node");
    private static final String SECTION = "node";
    private static final List<String> DEFAULT_COMPONENTS =
            List.of(
                    "identity",
                    "platform",
                    "config",
                    "keys",
                    "claims",
                    "leases",
                    "peers",
                    "exchange",
                    "call-observers",
                    "call-accounting",
                    "audit",
                    "usage",
                    "upstream-watch",
                    "dispatch",
                    "readiness",
                    "endpoints",
                    "samples",
                    "front-end");

    private final ComponentContext mContext;

    private NodeProcess(ComponentContext context) {
        mContext = context;
    }

    /**
     * Starts an instance.
     *
     * @param file the name of the settings file, for findings
     * @param text the settings
     * @return the running instance, or all findings if the settings cannot be used
     */
    public static Either<Findings, NodeProcess> start(String file, String text) {
        return start(file, text, new StopRequest());
    }

    /**
     * Starts an instance that may be told to stop before it has started.
     *
     * @param stop is told when the process has to stop
     */
    public static Either<Findings, NodeProcess> start(String file, String text, StopRequest stop) {
        Findings findings = new Findings();
        SettingsReader settings = reader(file, text, findings);
        Assembly assembly = configure(settings, findings);
        if (findings.hasErrors()) {
            return Either.left(findings);
        }
        if (!findings.isEmpty()) {
            LOG.warning("Settings have findings: " + findings.report());
        }
        Closer closer = new Closer();
        ComponentContext context =
                new ComponentContext(
                        settings,
                        closer,
                        SystemTimeSource.INSTANCE,
                        System.nanoTime(),
                        new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        context.provide(StopRequest.class, stop);
        try {
            assembly.install(context);
        } catch (RuntimeException e) {
            closer.close();
            throw e;
        }
        LOG.info("Instance is running.");
        return Either.right(new NodeProcess(context));
    }

    /**
     * Returns what is found in settings without starting an instance.
     *
     * @param file the name of the settings file, for findings
     * @param text the settings
     */
    static Findings check(String file, String text) {
        Findings findings = new Findings();
        configure(reader(file, text, findings), findings);
        return findings;
    }

    private static SettingsReader reader(String file, String text, Findings findings) {
        return new SettingsReader(
                IniDocument.parse(file, text, findings), findings, System.getenv());
    }

    private static Assembly configure(SettingsReader settings, Findings findings) {
        Assembly assembly = Assembly.of(selectComponents(settings, findings), findings);
        assembly.configure(settings);
        settings.reportUnknownKeys();
        return assembly;
    }

    /** Returns a service of the instance. */
    public <T> T service(Class<T> type) {
        return mContext.require(type);
    }

    /** Returns a service of the instance, or none if none of its components provides it. */
    public <T> Option<T> find(Class<T> type) {
        return mContext.find(type);
    }

    @Override
    public void close() {
        mContext.closer().close();
        LOG.info("Instance has stopped.");
    }

    private static List<Component> selectComponents(SettingsReader settings, Findings findings) {
        PluginRegistry registry = PluginRegistry.discover(findings);
        List<Component> selected = new ArrayList<>();
        for (String name : settings.list(SECTION, "components", DEFAULT_COMPONENTS)) {
            Option<Component> component =
                    registry.select(
                            Component.class,
                            name,
                            settings.location(SECTION, "components"),
                            findings);
            component.forEach(selected::add);
        }
        return selected;
    }
}

package org.fuchsialever.node.directory;

import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.kernel.plugin.Component;
import org.fuchsialever.kernel.plugin.ComponentContext;
import org.fuchsialever.node.NodeIdentity;
import org.fuchsialever.node.hosted.DrainSignal;
import org.fuchsialever.services.hosted.HostedServices;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowKey;

/** Writes signs of life of this instance. */
public final class PresenceComponent implements Component {
    /** Three of them fit into the time after which an instance counts as gone. */
    private static final long INTERVAL_MILLIS = 700;

    /** The first reads have told the time of the store by then. */
    private static final long FIRST_MILLIS = 50;

    @Override
    public String pluginName() {
        return "presence";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HostedServices.class, StoreClock.class, NodeIdentity.class, DrainSignal.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of();
    }

    @Override
    public void install(ComponentContext context) {
        HostedServices services = context.require(HostedServices.class);
        NodeIdentity identity = context.require(NodeIdentity.class);
        DrainSignal drain = context.require(DrainSignal.class);
        StoreClock clock = context.require(StoreClock.class);
        RowKey key =
                new RowKey(
                        services.directory().tableName(DirectoryTable.INSTANCES),
                        identity.instance().value());
        Runnable write =
                () ->
                        clock.millis()
                                .forEach(
                                        now ->
                                                write(
                                                        context,
                                                        services,
                                                        key,
                                                        new Presence(
                                                                identity.instance().value(),
                                                                identity.startId(),
                                                                now,
                                                                drain.isStarted())));
        Future<?> timer =
                services.exchange()
                        .loop()
                        .scheduleAtFixedRate(
                                write, FIRST_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        context.closer().register("presence", () -> timer.cancel(false));
        drain.onStart(write);
    }

    private static void write(
            ComponentContext context, HostedServices services, RowKey key, Presence presence) {
        services.rows()
                .change(new RowChange(Map.of(), Map.of(key, presence.encode()), List.of()))
                .subscribe(
                        written -> {},
                        failure ->
                                context.meters()
                                        .counter("fuchsialever.presence.failures")
                                        .increment());
    }
}

package org.fuchsialever.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.kernel.time.TimeSource;

/** A set of stand-ins that were started together and are closed together. */
public final class StandInEnvironment implements AutoCloseable {
    private final Closer mCloser = new Closer();
    private final Map<String, StandInServer> mServers = new LinkedHashMap<>();
    private final Map<String, EngineStandIn> mOrderedEngines = new ConcurrentHashMap<>();

    private StandInEnvironment() {}

    /** Returns a builder without stand-ins. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns a builder with all platform services at default options, without upstreams. */
    public static Builder platform() {
        return builder()
                .tableService()
                .objectStore()
                .ordering(Duration.ofSeconds(10), Duration.ofMillis(100))
                .usage()
                .instanceList(Duration.ZERO)
                .weightStore(SystemTimeSource.INSTANCE, Duration.ofSeconds(1), 100)
                .judge(Duration.ZERO);
    }

    /**
     * Returns a stand-in by its name.
     *
     * @throws IllegalArgumentException if there is none with this name and type
     */
    public <T extends StandInServer> T find(String name, Class<T> type) {
        StandInServer server = mServers.get(name);
        if (!type.isInstance(server)) {
            throw new IllegalArgumentException("no " + type.getSimpleName() + " named " + name);
        }
        return type.cast(server);
    }

    /** Returns an engine by its name, including engines started by an order. */
    public EngineStandIn engine(String name) {
        EngineStandIn started = mOrderedEngines.get(name);
        return started != null ? started : find(name, EngineStandIn.class);
    }

    /** Returns the plain service with this name. */
    public PlainServiceStandIn plainService(String name) {
        return find(name, PlainServiceStandIn.class);
    }

    /** Returns the table service. */
    public TableServiceStandIn tableService() {
        return find("table-service", TableServiceStandIn.class);
    }

    /** Returns the object store. */
    public ObjectStoreStandIn objectStore() {
        return find("object-store", ObjectStoreStandIn.class);
    }

    /** Returns the ordering interface. */
    public OrderingStandIn ordering() {
        return find("ordering", OrderingStandIn.class);
    }

    /** Returns the usage interface. */
    public UsageStandIn usage() {
        return find("usage", UsageStandIn.class);
    }

    /** Returns the instance list. */
    public InstanceListStandIn instanceList() {
        return find("instance-list", InstanceListStandIn.class);
    }

    /** Returns the weight store. */
    public WeightStoreStandIn weightStore() {
        return find("weight-store", WeightStoreStandIn.class);
    }

    /** Returns the judge. */
    public JudgeStandIn judge() {
        return find("judge", JudgeStandIn.class);
    }

    /** Returns all stand-ins by name, in the order in which they were added. */
    public Map<String, StandInServer> servers() {
        return new LinkedHashMap<>(mServers);
    }

    /**
     * Returns the {@code [platform]} section of node settings for the stand-ins of this
     * environment.
     */
    public String platformSection() {
        StringBuilder text = new StringBuilder("[platform]\nadapter = http\n");
        for (String name :
                List.of(
                        "table-service",
                        "object-store",
                        "ordering",
                        "usage",
                        "instance-list",
                        "weight-store",
                        "judge")) {
            StandInServer server = mServers.get(name);
            if (server != null) {
                text.append(name).append(" = ").append(server.url()).append('\n');
            }
        }
        return text.toString();
    }

    @Override
    public void close() {
        mCloser.close();
    }

    private void add(String name, StandInServer server) {
        mCloser.register(name, server);
        if (mServers.putIfAbsent(name, server) != null) {
            throw new IllegalArgumentException("two stand-ins are named " + name);
        }
    }

    private int startOrdered(String name, EngineOptions options) {
        EngineStandIn engine = mCloser.register(name, new EngineStandIn(options));
        mOrderedEngines.put(name, engine);
        return engine.port();
    }

    /** Builds an environment; each method that adds a stand-in returns this builder. */
    public static final class Builder {
        private final List<Entry> mEntries = new ArrayList<>();

        private Builder() {}

        /** Adds an engine. */
        public Builder engine(String name, EngineOptions options) {
            return add(name, environment -> new EngineStandIn(options));
        }

        /** Adds a plain service. */
        public Builder plainService(String name, Duration time) {
            return add(name, environment -> new PlainServiceStandIn(time));
        }

        /** Adds the table service. */
        public Builder tableService() {
            return add("table-service", environment -> new TableServiceStandIn());
        }

        /** Adds the object store. */
        public Builder objectStore() {
            return add("object-store", environment -> new ObjectStoreStandIn());
        }

        /** Adds the ordering interface; a start order starts an engine with default options. */
        public Builder ordering(Duration requestTimeout, Duration startTime) {
            return add(
                    "ordering",
                    environment ->
                            new OrderingStandIn(
                                    requestTimeout,
                                    startTime,
                                    (name, pool) ->
                                            environment.startOrdered(
                                                    name,
                                                    new EngineOptions()
                                                            .startId(name + "-start-1"))));
        }

        /** Adds the usage interface. */
        public Builder usage() {
            return add("usage", environment -> new UsageStandIn());
        }

        /** Adds the instance list. */
        public Builder instanceList(Duration lag) {
            return add("instance-list", environment -> new InstanceListStandIn(lag));
        }

        /** Adds the weight store. */
        public Builder weightStore(TimeSource time, Duration window, int limit) {
            return add("weight-store", environment -> new WeightStoreStandIn(time, window, limit));
        }

        /** Adds the judge. */
        public Builder judge(Duration time) {
            return add("judge", environment -> new JudgeStandIn(time));
        }

        /** Starts all stand-ins; if one fails to start, those already started are closed. */
        public StandInEnvironment start() {
            StandInEnvironment environment = new StandInEnvironment();
            try {
                mEntries.forEach(
                        entry -> environment.add(entry.name, entry.starter.start(environment)));
            } catch (RuntimeException e) {
                environment.close();
                throw e;
            }
            return environment;
        }

        private Builder add(String name, Starter starter) {
            mEntries.add(new Entry(name, starter));
            return this;
        }

        private record Entry(String name, Starter starter) {}

        @FunctionalInterface
        private interface Starter {
            StandInServer start(StandInEnvironment environment);
        }
    }
}

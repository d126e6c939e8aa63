package org.fuchsialever.decisions.config;

import io.vavr.control.Option;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.settings.SettingsReader;

/** Reads the sections of the pool table. */
final class PoolTableReader {
    private static final String MSG_UNKNOWN_POOL = "upstream.unknown-pool";
    private static final String MSG_BAD_ADDRESS = "upstream.bad-address";
    private static final String MSG_SAME_ADDRESS = "upstream.same-address";
    private static final String MSG_BOUNDS = "pool.bounds";
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9.]+|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_UPSTREAMS = 100_000;
    private static final String DEFAULT_BALANCING = "scored";

    private final SettingsReader reader;
    private final TableSections sections;
    private final Map<PoolName, List<UpstreamSpec>> upstreams = new HashMap<>();
    private final Map<String, UpstreamId> addresses = new HashMap<>();

    PoolTableReader(SettingsReader reader) {
        this.reader = reader;
        this.sections = new TableSections(reader);
    }

    Map<PoolName, Pool> read() {
        List<String> poolNames = sections.named("pool");
        for (String name : sections.named("upstream")) {
            readUpstream(name, poolNames);
        }
        Map<PoolName, Pool> pools = new TreeMap<>();
        for (String name : poolNames) {
            PoolName poolName = new PoolName(name);
            pools.put(poolName, readPool(poolName));
        }
        return pools;
    }

    private Pool readPool(PoolName name) {
        String section = "pool " + name;
        List<UpstreamSpec> members = upstreams.getOrDefault(name, List.of());
        int minimum = (int) reader.integer(section, "minimum", 0, 0, MAX_UPSTREAMS);
        int maximum = (int) reader.integer(section, "maximum", members.size(), 0, MAX_UPSTREAMS);
        if (minimum > maximum) {
            reader.findings()
                    .error(
                            reader.location(section, "minimum"),
                            MSG_BOUNDS,
                            "minimum %d is above maximum %d",
                            minimum,
                            maximum);
        }
        return new Pool(
                name,
                reader.choice(section, "kind", UpstreamKind.class, UpstreamKind.ENGINE),
                reader.text(section, "model", ""),
                reader.text(section, "balancing", DEFAULT_BALANCING),
                minimum,
                maximum,
                members.stream().sorted(Comparator.comparing(UpstreamSpec::id)).toList());
    }

    private void readUpstream(String name, List<String> poolNames) {
        String section = "upstream " + name;
        Option<String> pool = sections.name(section, "pool");
        String address = readAddress(section);
        int port = (int) reader.integer(section, "port", 0, 1, MAX_PORT);
        Option<String> domain = sections.name(section, "failure-domain");
        CapacityKind capacity =
                reader.choice(section, "capacity", CapacityKind.class, CapacityKind.REGULAR);
        int slots = (int) reader.integer(section, "slots", 8, 1, MAX_SLOTS);
        Fencing fencing = reader.choice(section, "fencing", Fencing.class, Fencing.IGNORED);
        UpstreamState state =
                reader.choice(section, "state", UpstreamState.class, UpstreamState.SERVING);
        if (port == 0) {
            reader.requiredText(section, "port");
        }
        if (pool.isEmpty() || domain.isEmpty()) {
            return;
        }
        if (!poolNames.contains(pool.get())) {
            reader.findings()
                    .error(
                            reader.location(section, "pool"),
                            MSG_UNKNOWN_POOL,
                            "pool \"%s\" does not exist; known pools are %s",
                            pool.get(),
                            poolNames);
            return;
        }
        UpstreamId id = new UpstreamId(name);
        checkAddressIsUnique(section, address + ":" + port, id);
        PoolName poolName = new PoolName(pool.get());
        upstreams
                .computeIfAbsent(poolName, p -> new ArrayList<>())
                .add(
                        new UpstreamSpec(
                                id,
                                poolName,
                                address,
                                port,
                                new FailureDomain(domain.get()),
                                capacity,
                                slots,
                                fencing,
                                state));
    }

    private String readAddress(String section) {
        String address = reader.requiredText(section, "address");
        if (!address.isEmpty() && !isIpAddress(address)) {
            reader.findings()
                    .error(
                            reader.location(section, "address"),
                            MSG_BAD_ADDRESS,
                            "\"%s\" is not an IP address; host names are not resolved",
                            address);
        }
        return address;
    }

    private void checkAddressIsUnique(String section, String address, UpstreamId id) {
        UpstreamId earlier = addresses.putIfAbsent(address, id);
        if (earlier != null) {
            reader.findings()
                    .error(
                            reader.location(section, "address"),
                            MSG_SAME_ADDRESS,
                            "upstream \"%s\" has the same address and port",
                            earlier);
        }
    }

    private static boolean isIpAddress(String text) {
        if (!IP_ADDRESS.matcher(text).matches()) {
            return false;
        }
        try {
            // A text of digits, dots and colons only is parsed and never looked up.
            return InetAddress.getByName(text) != null;
        } catch (java.net.UnknownHostException e) {
            return false;
        }
    }
}

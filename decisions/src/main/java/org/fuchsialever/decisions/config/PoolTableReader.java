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

    private final SettingsReader mReader;
    private final TableSections mSections;
    private final Map<PoolName, List<UpstreamSpec>> mUpstreams = new HashMap<>();
    private final Map<String, UpstreamId> mAddresses = new HashMap<>();

    PoolTableReader(SettingsReader reader) {
        mReader = reader;
        mSections = new TableSections(reader);
    }

    Map<PoolName, Pool> read() {
        List<String> poolNames = mSections.sectionNames("pool");
        for (String name : mSections.sectionNames("upstream")) {
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
        List<UpstreamSpec> members = mUpstreams.getOrDefault(name, List.of());
        int minimum = (int) mReader.integer(section, "minimum", 0, 0, MAX_UPSTREAMS);
        int maximum = (int) mReader.integer(section, "maximum", members.size(), 0, MAX_UPSTREAMS);
        if (minimum > maximum) {
            mReader.findings()
                    .error(
                            mReader.location(section, "minimum"),
                            MSG_BOUNDS,
                            "minimum %d is above maximum %d",
                            minimum,
                            maximum);
        }
        return new Pool(
                name,
                mReader.choice(section, "kind", UpstreamKind.class, UpstreamKind.ENGINE),
                mReader.text(section, "model", ""),
                mReader.text(section, "balancing", DEFAULT_BALANCING),
                minimum,
                maximum,
                members.stream().sorted(Comparator.comparing(UpstreamSpec::id)).toList());
    }

    private void readUpstream(String name, List<String> poolNames) {
        String section = "upstream " + name;
        Option<String> pool = mSections.requiredName(section, "pool");
        String address = readAddress(section);
        int port = (int) mReader.integer(section, "port", 0, 1, MAX_PORT);
        Option<String> domain = mSections.requiredName(section, "failure-domain");
        CapacityKind capacity =
                mReader.choice(section, "capacity", CapacityKind.class, CapacityKind.REGULAR);
        int slots = (int) mReader.integer(section, "slots", 8, 1, MAX_SLOTS);
        Fencing fencing = mReader.choice(section, "fencing", Fencing.class, Fencing.IGNORED);
        UpstreamState state =
                mReader.choice(section, "state", UpstreamState.class, UpstreamState.SERVING);
        if (port == 0) {
            mReader.requiredText(section, "port");
        }
        if (pool.isEmpty() || domain.isEmpty()) {
            return;
        }
        if (!poolNames.contains(pool.get())) {
            mReader.findings()
                    .error(
                            mReader.location(section, "pool"),
                            MSG_UNKNOWN_POOL,
                            "pool \"%s\" does not exist; known pools are %s",
                            pool.get(),
                            poolNames);
            return;
        }
        UpstreamId id = new UpstreamId(name);
        checkAddressIsUnique(section, address + ":" + port, id);
        PoolName poolName = new PoolName(pool.get());
        mUpstreams
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
        String address = mReader.requiredText(section, "address");
        if (!address.isEmpty() && !isIpAddress(address)) {
            mReader.findings()
                    .error(
                            mReader.location(section, "address"),
                            MSG_BAD_ADDRESS,
                            "\"%s\" is not an IP address; host names are not resolved",
                            address);
        }
        return address;
    }

    private void checkAddressIsUnique(String section, String address, UpstreamId id) {
        UpstreamId earlier = mAddresses.putIfAbsent(address, id);
        if (earlier != null) {
            mReader.findings()
                    .error(
                            mReader.location(section, "address"),
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
            // The pattern admits literal addresses only, so that this makes no DNS query.
            return InetAddress.getByName(text) != null;
        } catch (java.net.UnknownHostException e) {
            return false;
        }
    }
}

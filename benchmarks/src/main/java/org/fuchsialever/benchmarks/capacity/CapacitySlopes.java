package org.fuchsialever.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntFunction;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.decisions.config.TableParser;
import org.fuchsialever.decisions.keys.KeyHash;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyTable;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.kernel.findings.Findings;
import org.fuchsialever.wire.PeerCodec;
import org.jspecify.annotations.Nullable;

/** Measures what tables, keys, dispatch and share counters cost at three sizes each. */
public final class CapacitySlopes {
    private static final int REPEATS = 5;
    private static final int LOOKUPS = 20_000;

    /** Keeps the measured object alive while memory is read. */
    private static @Nullable Object sKept;

    private CapacitySlopes() {}

    /** Prints one line for each measurement. */
    public static void main(String[] arguments) {
        dispatch();
        tables();
        keys();
        shares();
    }

    private static void dispatch() {
        System.out.println("dispatch duty: upstreams, us per request, heap KB");
        for (int upstreams : List.of(6, 600, 10_000)) {
            double micros = Double.MAX_VALUE;
            for (int i = 0; i < REPEATS; i++) {
                micros = Math.min(micros, new DispatchLoad(upstreams).microsPerRequest());
            }
            print(upstreams, micros, heapKilobytes(DispatchLoad::new, upstreams));
        }
    }

    private static void tables() {
        System.out.println("tables: upstreams, ms to parse, text KB, heap KB");
        for (int upstreams : List.of(100, 1_000, 10_000)) {
            String pools = poolTable(upstreams);
            String routes = "[route r]\npath = /r\npool = p0\naccess = open\n";
            double millis = Double.MAX_VALUE;
            for (int i = 0; i < REPEATS; i++) {
                long start = System.nanoTime();
                parse(routes, pools);
                millis = Math.min(millis, (System.nanoTime() - start) / 1e6);
            }
            int bytes = new SnapshotText(1, routes, pools).encode().length();
            double heap = heapKilobytes(n -> parse(routes, pools), upstreams);
            print(upstreams, millis, bytes / 1024.0, heap);
        }
    }

    private static Object parse(String routes, String pools) {
        Findings findings = new Findings();
        return TableParser.parse(1, "routes", routes, "pools", pools, findings)
                .getOrElseThrow(() -> new IllegalStateException(findings.report()));
    }

    private static String poolTable(int upstreams) {
        StringBuilder text = new StringBuilder("[pool p0]\nkind = engine\nmodel = m\n");
        for (int i = 0; i < upstreams; i++) {
            text.append("[upstream worker-").append(i).append("]\npool = p0\naddress = 10.0.");
            text.append(i / 250).append('.').append(i % 250 + 1).append("\nport = 8000\n");
            text.append("failure-domain = fd-").append(i % 41).append("\nslots = 16\n");
        }
        return text.toString();
    }

    private static void keys() {
        System.out.println("keys: keys, us per check, heap KB");
        for (int count : List.of(100, 1_000, 10_000)) {
            KeyTable table = (KeyTable) keyTable(count);
            double micros = Double.MAX_VALUE;
            for (int i = 0; i < REPEATS; i++) {
                long start = System.nanoTime();
                for (int j = 0; j < LOOKUPS; j++) {
                    sKept = table.check("fl_k" + j % count + "_secret", 0);
                }
                micros = Math.min(micros, (System.nanoTime() - start) / 1e3 / LOOKUPS);
            }
            print(count, micros, heapKilobytes(CapacitySlopes::keyTable, count));
        }
    }

    private static Object keyTable(int count) {
        List<KeyRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            KeyHash hash = KeyHash.of("5a17", "secret");
            TeamName team = new TeamName("team-" + i % 100);
            records.add(new KeyRecord(new KeyId("k" + i), team, hash, 0, false));
        }
        return new KeyTable(records, Set.of());
    }

    private static void shares() {
        System.out.println("share counters: teams, bytes of one message");
        for (int teams : List.of(8, 40, 200)) {
            List<PeerMessage.Share> shares = new ArrayList<>();
            for (int i = 0; i < teams; i++) {
                TeamName team = new TeamName("team-" + i);
                shares.add(new PeerMessage.Share(new PoolName("pool-1"), team, 1234.5 + i, 17));
            }
            print(teams, PeerCodec.encode(new PeerMessage.ShareCounters(shares)).length);
        }
    }

    private static double heapKilobytes(IntFunction<Object> factory, int size) {
        sKept = null;
        long before = usedBytes();
        sKept = factory.apply(size);
        return (usedBytes() - before) / 1024.0;
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < REPEATS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void print(int size, double... values) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%7d", size));
        for (double value : values) {
            line.append(String.format(Locale.ROOT, "  %10.2f", value));
        }
        System.out.println(line);
    }
}

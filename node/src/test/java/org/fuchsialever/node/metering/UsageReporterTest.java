package org.fuchsialever.node.metering;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.hosted.FencedCalls;
import org.fuchsialever.services.rows.RowChange;
import org.fuchsialever.services.rows.RowChangeResult;
import org.fuchsialever.services.rows.RowKey;
import org.fuchsialever.services.rows.RowPage;
import org.fuchsialever.services.rows.RowStore;
import org.fuchsialever.services.rows.StoredRow;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

class UsageReporterTest {
    private static final Duration WINDOW = Duration.ofSeconds(5);
    private static final HeldLease LEASE = new HeldLease("usage", 7, "leases", "role/usage", 1);

    private final ManualTimeSource mClock = new ManualTimeSource(0);
    private final MemoryRows mRows = new MemoryRows();
    private final ExpiringLeases mLeases = new ExpiringLeases();
    private final List<Long> mReported = new ArrayList<>();
    private final WindowCounts mCounts = new WindowCounts(WINDOW);

    @Test
    void reportsAWindowThatHasEnded() {
        UsageReporter reporter = reporterAfterAWindow();
        reporter.tick();
        assertThat(mReported, is(List.of(0L)));
    }

    /** Guards against usage that is never reported again after the length of windows has grown. */
    @Test
    void reportsWindowsThoughLaterNumbersWereClosedWithShorterOnes() {
        new MeteringRows(mRows, "former").close(400, Map.of("alba", 7L)).block();
        UsageReporter reporter = reporterAfterAWindow();
        reporter.tick();
        assertThat(mReported, is(List.of(0L)));
    }

    /** A store that responds late must not make a former holder act beside the next one. */
    @Test
    void reportsNothingWhenTheLeaseRanOutWhileTheStoreWasSlow() {
        UsageReporter reporter = reporterAfterAWindow();
        Sinks.Empty<Void> answer = mRows.delayChanges();
        reporter.tick();
        mLeases.mValidMillis = 0;
        answer.tryEmitEmpty();
        assertThat(mReported, is(empty()));
    }

    @Test
    void reportsNothingUnderALeaseThatMayRunOutDuringTheCall() {
        UsageReporter reporter = reporterAfterAWindow();
        mLeases.mValidMillis = FencedCalls.TIME_LIMIT.toMillis() / 2;
        reporter.tick();
        assertThat(mReported, is(empty()));
    }

    @Test
    void sumsTheCountsOfMoreProcessesThanOnePageHolds() {
        MeteringRows rows = new MeteringRows(mRows, "self");
        for (int process = 0; process < 1_200; process++) {
            new MeteringRows(mRows, "p" + process).write(3, Map.of("alba", 1L)).block();
        }
        assertThat(rows.sum(3).block(), is(Map.of("alba", 1_200L)));
        rows.removeCounts(3).block();
        assertThat(rows.sum(3).block(), is(Map.of()));
    }

    private UsageReporter reporterAfterAWindow() {
        UsageReporter reporter =
                new UsageReporter(
                        mCounts,
                        new MeteringRows(mRows, "self"),
                        (window, counts, fencing) -> {
                            mReported.add(window);
                            return Mono.just(FencedCalls.Result.ACCEPTED);
                        },
                        mLeases,
                        mClock,
                        new TraceLog(
                                new PrintStream(OutputStream.nullOutputStream()),
                                new SimpleMeterRegistry()),
                        new SimpleMeterRegistry());
        mCounts.add("alba", 1_000);
        mClock.advanceNanos(9_000_000_000L);
        return reporter;
    }

    /** One lease whose remaining time the test sets. */
    private static final class ExpiringLeases implements Leases {
        private long mValidMillis = 60_000;

        @Override
        public void request(String role, LeaseListener listener) {}

        @Override
        public void release(String role) {}

        @Override
        public Option<HeldLease> held(String role) {
            return heldFor(role, Duration.ZERO);
        }

        @Override
        public Option<HeldLease> heldFor(String role, Duration time) {
            return time.toMillis() < mValidMillis ? Option.some(LEASE) : Option.none();
        }
    }

    /** Rows in memory with the page size of the store. */
    private static final class MemoryRows implements RowStore {
        private static final int PAGE_ROWS = 500;

        private final TreeMap<String, StoredRow> mStored = new TreeMap<>();
        private Mono<Void> mDelay = Mono.empty();
        private long mVersion;

        Sinks.Empty<Void> delayChanges() {
            Sinks.Empty<Void> answer = Sinks.empty();
            mDelay = answer.asMono();
            return answer;
        }

        @Override
        public Mono<RowChangeResult> change(RowChange change) {
            return mDelay.then(Mono.fromSupplier(() -> apply(change)));
        }

        private RowChangeResult apply(RowChange change) {
            mVersion++;
            change.puts()
                    .forEach(
                            (key, value) ->
                                    mStored.put(
                                            name(key), new StoredRow(key, value, mVersion, false)));
            change.removals().forEach(key -> mStored.remove(name(key)));
            return new RowChangeResult.Applied(mVersion);
        }

        private static String name(RowKey key) {
            return key.table() + "|" + key.key();
        }

        @Override
        public Mono<RowPage> range(String table, String from, String to, int limit) {
            String end = to.isEmpty() ? table + "|~~" : table + "|" + to;
            List<StoredRow> found = List.copyOf(mStored.subMap(table + "|" + from, end).values());
            int size = Math.min(found.size(), Math.min(limit, PAGE_ROWS));
            return Mono.just(new RowPage(found.subList(0, size), size < found.size(), mVersion, 0));
        }

        @Override
        public Mono<RowPage> changes(String table, long after, Duration wait) {
            return Mono.error(new UnsupportedOperationException());
        }

        @Override
        public Mono<Void> removeObject(String name) {
            return Mono.error(new UnsupportedOperationException());
        }
    }
}

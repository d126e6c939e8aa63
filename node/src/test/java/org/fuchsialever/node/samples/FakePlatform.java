package org.fuchsialever.node.samples;

import io.vavr.control.Option;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.OrderingService;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.UsageReportService;
import reactor.core.publisher.Mono;

/** In-memory tables and objects; drops the response to every third commit. */
final class FakePlatform implements TableService, ObjectStore {
    private final Map<String, Row> mRows = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private long mRevision;
    private int mCommits;

    Platform platform() {
        return new Platform(
                this,
                this,
                unused(OrderingService.class),
                unused(UsageReportService.class),
                () -> Mono.just(List.of()),
                model -> Mono.just(new WeightVersion(7)),
                (sample, prompt, text) -> Mono.just(0.25));
    }

    private static <T> T unused(Class<T> type) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> {
                            throw new UnsupportedOperationException(method.toString());
                        }));
    }

    @Override
    public synchronized Mono<Option<Row>> read(String table, String key) {
        return Mono.just(Option.of(mRows.get(table + " " + key)));
    }

    @Override
    public synchronized Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return Mono.just(
                mRows.values().stream()
                        .filter(row -> row.table().equals(table) && row.key().startsWith(prefix))
                        .filter(row -> row.version() > afterVersion)
                        .toList());
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        return Mono.fromSupplier(() -> apply(commit));
    }

    /** Writes rows without dropping the response; returns their version. */
    synchronized long writeNow(Commit commit) {
        mCommits = 0;
        apply(commit);
        return mRevision;
    }

    private synchronized CommitResult apply(Commit commit) {
        List<Row> conflicts = new ArrayList<>();
        boolean conditionsHold = true;
        for (Commit.Condition condition : commit.conditions()) {
            Row row = mRows.get(condition.table() + " " + condition.key());
            if ((row == null ? 0 : row.version()) != condition.version()) {
                conditionsHold = false;
                Option.of(row).forEach(conflicts::add);
            }
        }
        if (!conditionsHold) {
            return new CommitResult.Conflict(conflicts);
        }
        mRevision++;
        for (Commit.Put put : commit.puts()) {
            mRows.put(
                    put.table() + " " + put.key(),
                    new Row(put.table(), put.key(), mRevision, put.value(), commit.writer()));
        }
        commit.deletes().forEach(deleted -> mRows.remove(deleted.table() + " " + deleted.key()));
        mCommits++;
        if (mCommits % 3 == 0) {
            throw new PlatformException(
                    PlatformException.Effect.UNKNOWN, "the response was dropped");
        }
        return new CommitResult.Committed(mRevision);
    }

    @Override
    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
        return Mono.fromSupplier(() -> mObjects.putIfAbsent(name, content) == null);
    }

    @Override
    public Mono<Option<byte[]>> read(String name) {
        return Mono.fromSupplier(() -> Option.of(mObjects.get(name)));
    }

    @Override
    public Mono<List<String>> list(String prefix) {
        return Mono.just(mObjects.keySet().stream().filter(n -> n.startsWith(prefix)).toList());
    }
}

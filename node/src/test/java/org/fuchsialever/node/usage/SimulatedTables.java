package org.fuchsialever.node.usage;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.PlatformException.Effect;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.fuchsialever.services.Timers;
import reactor.core.publisher.Mono;

/** The table service as one instance reaches it, with faults that only this instance sees. */
final class SimulatedTables implements TableService {
    boolean unreachable;
    boolean losesNextCloseResponse;
    Duration nextCloseDelay = Duration.ZERO;

    private final TableService shared;
    private final Timers timers;

    SimulatedTables(TableService shared, Timers timers) {
        this.shared = shared;
        this.timers = timers;
    }

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        return unreachable ? failure(Effect.NONE) : shared.read(table, key);
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return unreachable ? failure(Effect.NONE) : shared.scan(table, prefix, afterVersion);
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        if (unreachable) {
            return failure(Effect.NONE);
        }
        boolean closesWindow =
                commit.puts().stream()
                        .anyMatch(put -> put.key().startsWith(UsageRows.WINDOW_PREFIX));
        if (!closesWindow) {
            return shared.commit(commit);
        }
        Duration delay = nextCloseDelay;
        nextCloseDelay = Duration.ZERO;
        if (losesNextCloseResponse) {
            losesNextCloseResponse = false;
            return shared.commit(commit).then(failure(Effect.UNKNOWN));
        }
        return timers.after(delay).then(shared.commit(commit));
    }

    private static <T> Mono<T> failure(Effect effect) {
        return Mono.error(new PlatformException(effect, "a simulated fault"));
    }
}

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

/** The view that one instance has of the table service, with faults of its own. */
final class SimulatedTables implements TableService {
    boolean cutOff;
    boolean losesAnswerOfNextFix;
    Duration delayOfNextFix = Duration.ZERO;

    private final TableService shared;
    private final Timers delays;

    SimulatedTables(TableService shared, Timers delays) {
        this.shared = shared;
        this.delays = delays;
    }

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        return cutOff ? failure(Effect.NONE) : shared.read(table, key);
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return cutOff ? failure(Effect.NONE) : shared.scan(table, prefix, afterVersion);
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        if (cutOff) {
            return failure(Effect.NONE);
        }
        boolean fixes =
                commit.puts().stream()
                        .anyMatch(put -> put.key().startsWith(UsageRows.WINDOW_PREFIX));
        if (!fixes) {
            return shared.commit(commit);
        }
        Duration delay = delayOfNextFix;
        delayOfNextFix = Duration.ZERO;
        if (losesAnswerOfNextFix) {
            losesAnswerOfNextFix = false;
            return shared.commit(commit).then(failure(Effect.UNKNOWN));
        }
        return delays.after(delay).then(shared.commit(commit));
    }

    private static <T> Mono<T> failure(Effect effect) {
        return Mono.error(new PlatformException(effect, "a simulated fault"));
    }
}

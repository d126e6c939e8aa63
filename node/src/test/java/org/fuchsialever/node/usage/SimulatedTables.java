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
    boolean mUnreachable;
    boolean mLosesNextCloseResponse;
    Duration mNextCloseDelay = Duration.ZERO;

    private final TableService mShared;
    private final Timers mTimers;

    SimulatedTables(TableService shared, Timers timers) {
        mShared = shared;
        mTimers = timers;
    }

    @Override
    public Mono<Option<Row>> read(String table, String key) {
        return mUnreachable ? failure(Effect.NONE) : mShared.read(table, key);
    }

    @Override
    public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
        return mUnreachable ? failure(Effect.NONE) : mShared.scan(table, prefix, afterVersion);
    }

    @Override
    public Mono<CommitResult> commit(Commit commit) {
        if (mUnreachable) {
            return failure(Effect.NONE);
        }
        boolean closesWindow =
                commit.puts().stream()
                        .anyMatch(put -> put.key().startsWith(UsageRows.WINDOW_PREFIX));
        if (!closesWindow) {
            return mShared.commit(commit);
        }
        Duration delay = mNextCloseDelay;
        mNextCloseDelay = Duration.ZERO;
        if (mLosesNextCloseResponse) {
            mLosesNextCloseResponse = false;
            return mShared.commit(commit).then(failure(Effect.UNKNOWN));
        }
        return mTimers.after(delay).then(mShared.commit(commit));
    }

    private static <T> Mono<T> failure(Effect effect) {
        return Mono.error(new PlatformException(effect, "a simulated fault"));
    }
}

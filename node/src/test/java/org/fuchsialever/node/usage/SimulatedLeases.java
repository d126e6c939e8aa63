package org.fuchsialever.node.usage;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.TableService;

/**
 * Leases that the test assigns. As with real leases, the previous holder sees by its clock that its
 * lease has ended before its duty is notified.
 */
final class SimulatedLeases implements Leases {
    private static final String TABLE = "leases";
    private final Map<String, HeldLease> mHeld = new TreeMap<>();
    private final Map<String, LeaseListener> mListeners = new TreeMap<>();

    @Override
    public void request(String role, LeaseListener listener) {
        mListeners.put(role, listener);
    }

    @Override
    public void release(String role) {
        mHeld.remove(role);
    }

    @Override
    public Option<HeldLease> heldFor(String role, Duration time) {
        return held(role);
    }

    @Override
    public Option<HeldLease> held(String role) {
        return Option.of(mHeld.get(role));
    }

    /** Assigns a role to this instance; the lease of the previous holder is no longer valid. */
    void assignRole(
            Option<SimulatedLeases> previous, String role, long fencing, TableService table) {
        previous.forEach(other -> other.mHeld.remove(role));
        // An instance that acquires a role again has been notified of the loss before.
        previous.filter(other -> other == this).forEach(other -> other.lose(role));
        long guard = writeGuard(role, fencing, table);
        HeldLease lease = new HeldLease(role, fencing, TABLE, role, guard);
        mHeld.put(role, lease);
        Option.of(mListeners.get(role)).forEach(listener -> listener.onAcquired(lease));
        previous.filter(other -> other != this).forEach(other -> other.lose(role));
    }

    private void lose(String role) {
        Option.of(mListeners.get(role)).forEach(listener -> listener.onLost(role));
    }

    /** Retries the write until it is known to have taken effect; returns the version of the row. */
    private static long writeGuard(String role, long fencing, TableService table) {
        long version = 0;
        while (true) {
            Commit commit =
                    new Commit(
                            "lease-" + role + "-" + fencing,
                            List.of(new Commit.Condition(TABLE, role, version)),
                            List.of(new Commit.Put(TABLE, role, Long.toString(fencing))),
                            List.of());
            Try<CommitResult> result = Try.of(() -> table.commit(commit).block());
            if (result.isSuccess()) {
                if (result.get() instanceof CommitResult.Committed committed) {
                    return committed.version();
                }
                version = ((CommitResult.Conflict) result.get()).rows().get(0).version();
            }
        }
    }
}

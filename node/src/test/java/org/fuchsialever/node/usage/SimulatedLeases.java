package org.fuchsialever.node.usage;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.TableService;

/**
 * Roles that the test hands out. As with real leases, the clock of a former holder tells it that
 * its lease has ended, but its duty learns that later.
 */
final class SimulatedLeases implements Leases {
    private static final String TABLE = "leases";
    private final Map<String, HeldLease> held = new TreeMap<>();
    private final Map<String, LeaseListener> listeners = new TreeMap<>();

    @Override
    public void request(String role, LeaseListener listener) {
        listeners.put(role, listener);
    }

    @Override
    public void release(String role) {
        held.remove(role);
    }

    @Override
    public Option<HeldLease> held(String role) {
        return Option.of(held.get(role));
    }

    /** Gives a role to this instance; the former holder may not act from now on. */
    void takeFrom(Option<SimulatedLeases> former, String role, long fencing, TableService table) {
        former.forEach(other -> other.held.remove(role));
        // An instance that gains a role again has learnt of the loss before.
        former.filter(other -> other == this).forEach(other -> other.lose(role));
        long guard = writeGuard(role, fencing, table);
        HeldLease lease = new HeldLease(role, fencing, TABLE, role, guard);
        held.put(role, lease);
        Option.of(listeners.get(role)).forEach(listener -> listener.onAcquired(lease));
        former.filter(other -> other != this).forEach(other -> other.lose(role));
    }

    private void lose(String role) {
        Option.of(listeners.get(role)).forEach(listener -> listener.onLost(role));
    }

    /** Repeats the change until it is known to have taken effect. */
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

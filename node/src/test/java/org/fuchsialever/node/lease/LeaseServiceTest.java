package org.fuchsialever.node.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.fuchsialever.decisions.lease.LeaseDuty;
import org.fuchsialever.decisions.lease.LeaseTiming;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Guards against an expired lease that still looks held and against rows that do not survive. */
class LeaseServiceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String ROLE = "trainer/alba";

    private final MemoryTable table = new MemoryTable();
    private final ManualTimeSource clock = new ManualTimeSource(0);
    private final DutyStepper stepper = new DutyStepper(clock);
    private final List<String> changes = new ArrayList<>();
    private final LeaseService leases = service("node-1");

    private LeaseService service(String name) {
        LeaseService service = new LeaseService(table, clock, new SimpleMeterRegistry());
        LeaseDuty duty =
                new LeaseDuty(
                        new InstanceId(name),
                        "start-of-" + name,
                        LeaseTiming.standard(),
                        new SplittableRandom(7));
        service.connect(stepper.add(duty, service));
        service.request(ROLE, new Recorder(name));
        return service;
    }

    @Test
    void oneOfTwoInstancesHoldsTheRoleAndRenewsIt() {
        LeaseService other = service("node-2");
        stepper.advance(20 * SECOND);
        assertThat(leases.held(ROLE).isDefined() != other.held(ROLE).isDefined(), is(true));
        assertThat(changes.size(), equalTo(1));
    }

    @Test
    void aHeldLeaseNamesTheGuardRowAsItIsInTheTable() {
        stepper.advance(20 * SECOND);
        HeldLease lease = leases.held(ROLE).get();
        Row guard = Objects.requireNonNull(table.rows.get(lease.guardKey()));
        assertThat(guard.version(), equalTo(lease.guardVersion()));
        assertThat(leases.isValid(lease), is(true));
    }

    @Test
    void anExpiredLeaseIsNotHeldEvenBeforeTheDutyHasRunAgain() {
        stepper.advance(20 * SECOND);
        HeldLease lease = leases.held(ROLE).get();
        clock.advanceNanos(6 * SECOND);
        assertThat(leases.isValid(lease), is(false));
    }

    @Test
    void anOutageOfTheTableEndsTheRightToActAndItsEndRestoresIt() {
        stepper.advance(5 * SECOND);
        table.down = true;
        stepper.advance(10 * SECOND);
        assertThat(leases.held(ROLE).isEmpty(), is(true));
        table.down = false;
        stepper.advance(10 * SECOND);
        assertThat(changes, contains("node-1 +1", "node-1 -", "node-1 +1"));
    }

    @Test
    void aReleasedRoleGoesToAnotherInstanceWithTheNextFencingNumber() {
        stepper.advance(5 * SECOND);
        LeaseService other = service("node-2");
        leases.release(ROLE);
        stepper.advance(5 * SECOND);
        assertThat(leases.held(ROLE).isEmpty(), is(true));
        assertThat(other.held(ROLE).get().fencing(), equalTo(2L));
    }

    private final class Recorder implements Leases.LeaseListener {
        private final String name;

        Recorder(String name) {
            this.name = name;
        }

        @Override
        public void onAcquired(HeldLease lease) {
            changes.add(name + " +" + lease.fencing());
        }

        @Override
        public void onLost(String role) {
            changes.add(name + " -");
        }
    }

    /** Table in memory that answers at once. */
    private static final class MemoryTable implements TableService {
        private final Map<String, Row> rows = new TreeMap<>();
        private long revision;
        private boolean down;

        @Override
        public Mono<Option<Row>> read(String table, String key) {
            return Mono.just(Option.of(rows.get(key)));
        }

        @Override
        public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
            return down
                    ? failure(PlatformException.Effect.NONE)
                    : Mono.just(
                            rows.values().stream()
                                    .filter(row -> row.version() > afterVersion)
                                    .toList());
        }

        @Override
        public Mono<CommitResult> commit(Commit commit) {
            if (down) {
                return failure(PlatformException.Effect.UNKNOWN);
            }
            List<Row> conflicts = new ArrayList<>();
            boolean holds = true;
            for (Commit.Condition condition : commit.conditions()) {
                Option<Row> row = Option.of(rows.get(condition.key()));
                if (row.map(Row::version).getOrElse(0L) != condition.version()) {
                    holds = false;
                    row.forEach(conflicts::add);
                }
            }
            if (!holds) {
                return Mono.just(new CommitResult.Conflict(conflicts));
            }
            revision++;
            commit.deletes().forEach(delete -> rows.remove(delete.key()));
            for (Commit.Put put : commit.puts()) {
                rows.put(
                        put.key(),
                        new Row(put.table(), put.key(), revision, put.value(), commit.writer()));
            }
            return Mono.just(new CommitResult.Committed(revision));
        }

        private static <T> Mono<T> failure(PlatformException.Effect effect) {
            return Mono.error(new PlatformException(effect, "the table service is down"));
        }
    }
}

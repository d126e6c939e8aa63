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

/** Guards against expired leases that still look held and against rows lost in the encoding. */
class LeaseServiceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String ROLE = "trainer/alba";

    private final MemoryTable mTable = new MemoryTable();
    private final ManualTimeSource mClock = new ManualTimeSource(0);
    private final DutyStepper mStepper = new DutyStepper(mClock);
    private final List<String> mChanges = new ArrayList<>();
    private final LeaseService mLeases = service("node-1");

    private LeaseService service(String name) {
        LeaseService service = new LeaseService(mTable, mClock, new SimpleMeterRegistry());
        LeaseDuty duty =
                new LeaseDuty(
                        new InstanceId(name),
                        "start-of-" + name,
                        LeaseTiming.standard(),
                        new SplittableRandom(7));
        service.connect(mStepper.add(duty, service));
        service.request(ROLE, new Recorder(name));
        return service;
    }

    @Test
    void oneOfTwoInstancesHoldsTheRoleAndRenewsIt() {
        LeaseService other = service("node-2");
        mStepper.advance(20 * SECOND);
        assertThat(mLeases.held(ROLE).isDefined() != other.held(ROLE).isDefined(), is(true));
        assertThat(mChanges.size(), equalTo(1));
    }

    @Test
    void aHeldLeaseNamesTheGuardRowAsItIsInTheTable() {
        mStepper.advance(20 * SECOND);
        HeldLease lease = mLeases.held(ROLE).get();
        Row guard = Objects.requireNonNull(mTable.mRows.get(lease.guardKey()));
        assertThat(guard.version(), equalTo(lease.guardVersion()));
        assertThat(mLeases.isValid(lease), is(true));
    }

    @Test
    void anExpiredLeaseIsNotHeldEvenBeforeTheDutyHasRunAgain() {
        mStepper.advance(20 * SECOND);
        HeldLease lease = mLeases.held(ROLE).get();
        mClock.advanceNanos(6 * SECOND);
        assertThat(mLeases.isValid(lease), is(false));
    }

    @Test
    void anOutageOfTheTableEndsTheRightToActAndItsEndRestoresIt() {
        mStepper.advance(5 * SECOND);
        mTable.mDown = true;
        mStepper.advance(10 * SECOND);
        assertThat(mLeases.held(ROLE).isEmpty(), is(true));
        mTable.mDown = false;
        mStepper.advance(10 * SECOND);
        assertThat(mChanges, contains("node-1 +1", "node-1 -", "node-1 +1"));
    }

    @Test
    void aReleasedRoleGoesToAnotherInstanceWithTheNextFencingNumber() {
        mStepper.advance(5 * SECOND);
        LeaseService other = service("node-2");
        mLeases.release(ROLE);
        mStepper.advance(5 * SECOND);
        assertThat(mLeases.held(ROLE).isEmpty(), is(true));
        assertThat(other.held(ROLE).get().fencing(), equalTo(2L));
    }

    private final class Recorder implements Leases.LeaseListener {
        private final String mName;

        Recorder(String name) {
            mName = name;
        }

        @Override
        public void onAcquired(HeldLease lease) {
            mChanges.add(mName + " +" + lease.fencing());
        }

        @Override
        public void onLost(String role) {
            mChanges.add(mName + " -");
        }
    }

    /** Table in memory that responds at once. */
    private static final class MemoryTable implements TableService {
        private final Map<String, Row> mRows = new TreeMap<>();
        private long mRevision;
        private boolean mDown;

        @Override
        public Mono<Option<Row>> read(String table, String key) {
            return Mono.just(Option.of(mRows.get(key)));
        }

        @Override
        public Mono<List<Row>> scan(String table, String prefix, long afterVersion) {
            return mDown
                    ? failure(PlatformException.Effect.NONE)
                    : Mono.just(
                            mRows.values().stream()
                                    .filter(row -> row.version() > afterVersion)
                                    .toList());
        }

        @Override
        public Mono<CommitResult> commit(Commit commit) {
            if (mDown) {
                return failure(PlatformException.Effect.UNKNOWN);
            }
            List<Row> conflicts = new ArrayList<>();
            boolean holds = true;
            for (Commit.Condition condition : commit.conditions()) {
                Option<Row> row = Option.of(mRows.get(condition.key()));
                if (row.map(Row::version).getOrElse(0L) != condition.version()) {
                    holds = false;
                    row.forEach(conflicts::add);
                }
            }
            if (!holds) {
                return Mono.just(new CommitResult.Conflict(conflicts));
            }
            mRevision++;
            commit.deletes().forEach(delete -> mRows.remove(delete.key()));
            for (Commit.Put put : commit.puts()) {
                mRows.put(
                        put.key(),
                        new Row(put.table(), put.key(), mRevision, put.value(), commit.writer()));
            }
            return Mono.just(new CommitResult.Committed(mRevision));
        }

        private static <T> Mono<T> failure(PlatformException.Effect effect) {
            return Mono.error(new PlatformException(effect, "the table service is down"));
        }
    }
}

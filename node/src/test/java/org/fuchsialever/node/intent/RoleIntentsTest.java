package org.fuchsialever.node.intent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fuchsialever.decisions.intent.CommandResult;
import org.fuchsialever.decisions.intent.IntentAction;
import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.intent.IntentMachine;
import org.fuchsialever.decisions.intent.IntentTiming;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.invariant.InvariantMonitor;
import org.fuchsialever.node.lease.HeldLease;
import org.fuchsialever.node.lease.Leases;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.fake.FakeTableService;
import org.fuchsialever.services.fake.Fault;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Guards against intents that are lost with a response or written without a valid lease. */
class RoleIntentsTest {
    private static final String ROLE = "orders/p";
    private static final long SECOND = 1_000_000_000L;

    private final FakeTableService mTables = new FakeTableService();
    private final List<Invariant> mViolated = new ArrayList<>();
    private final List<String> mSent = new ArrayList<>();
    private boolean mLeaseValid = true;
    private CommandResult mResult = CommandResult.DONE;
    private long mNow;

    private record Text(String target) implements IntentCommand {
        @Override
        public String receiver() {
            return "platform";
        }

        @Override
        public boolean fencingEnforced() {
            return true;
        }
    }

    private static final class TextCodec implements CommandCodec<Text> {
        @Override
        public List<String> encode(Text command) {
            return List.of(command.target());
        }

        @Override
        public Option<Text> decode(List<String> fields) {
            return fields.size() == 1 ? Option.some(new Text(fields.get(0))) : Option.none();
        }
    }

    /** One instance, whose intent machine the test calls directly. */
    private final class Instance implements Leases {
        private final IntentMachine<Text> mMachine =
                new IntentMachine<>(
                        ROLE,
                        IntentTiming.standard(Duration.ofSeconds(10)),
                        new SplittableRandom(1),
                        InvariantMonitor.throwing());
        private final RoleIntents<Text> mIntents =
                new RoleIntents<>(
                        ROLE,
                        new TextCodec(),
                        new IntentServices(
                                mTables,
                                this,
                                (invariant, detail) -> mViolated.add(invariant),
                                new SimpleMeterRegistry()),
                        (order, stillHolding) -> {
                            if (!stillHolding.getAsBoolean()) {
                                return Mono.just(CommandResult.NOT_SENT);
                            }
                            mSent.add(order.intent().command().target());
                            return Mono.just(mResult);
                        },
                        event -> mMachine.onEvent(event, mNow, this::execute));

        private void execute(IntentAction<Text> action) {
            mIntents.execute(action);
        }

        private void acquireLease(long fencing) {
            long version = rowVersion("leases", "role/" + ROLE);
            mTables.commit(
                            new Commit(
                                    "lease-" + fencing,
                                    List.of(),
                                    List.of(new Commit.Put("leases", "role/" + ROLE, "held")),
                                    List.of()))
                    .block();
            assertThat(rowVersion("leases", "role/" + ROLE) > version, is(true));
            mIntents.onAcquired(
                    new HeldLease(
                            ROLE,
                            fencing,
                            "leases",
                            "role/" + ROLE,
                            rowVersion("leases", "role/" + ROLE)));
        }

        private void advance(int seconds) {
            for (int i = 0; i < seconds * 10; i++) {
                mNow += SECOND / 10;
                if (mMachine.nextTimerNanos() <= mNow) {
                    mMachine.onTimer(mNow, this::execute);
                }
            }
        }

        @Override
        public void request(String role, LeaseListener listener) {}

        @Override
        public void release(String role) {}

        @Override
        public Option<HeldLease> heldFor(String role, Duration time) {
            return held(role);
        }

        @Override
        public Option<HeldLease> held(String role) {
            return Option.none();
        }

        @Override
        public boolean isValid(HeldLease lease) {
            return mLeaseValid;
        }
    }

    private long rowVersion(String table, String key) {
        return row(table, key).map(Row::version).getOrElse(0L);
    }

    private Option<Row> row(String table, String key) {
        Option<Row> row = mTables.read(table, key).block();
        return row == null ? Option.none() : row;
    }

    private String journal() {
        return row("intents", ROLE).map(Row::value).getOrElse("no row");
    }

    @Test
    void carriesAnIntentOutOnceAndEmptiesTheJournal() {
        Instance instance = new Instance();
        instance.acquireLease(1);
        instance.mMachine.propose(new Text("a"), mNow, instance::execute);
        instance.advance(2);
        assertThat(mSent, contains("a"));
        assertThat(journal(), equalTo(""));
    }

    @Test
    void aLostAnswerToEachWriteNeitherRepeatsNorLosesTheIntent() {
        for (Fault fault : List.of(Fault.LOSE_ANSWER, Fault.LOSE_REQUEST, Fault.DOWN)) {
            mSent.clear();
            Instance instance = new Instance();
            // The first change is the write of the lease row.
            mTables.faults().addToNextChange(Fault.NONE);
            mTables.faults().addToNextChange(fault);
            instance.acquireLease(10 + fault.ordinal());
            instance.advance(2);
            mTables.faults().addToNextChange(fault);
            mTables.faults().addToNextChange(fault);
            instance.mMachine.propose(new Text("a"), mNow, instance::execute);
            instance.advance(3);
            mTables.faults().addToNextChange(fault);
            instance.advance(3);
            instance.mMachine.propose(new Text("b"), mNow, instance::execute);
            instance.advance(3);
            assertThat(fault.name(), mSent, contains("a", "b"));
            assertThat(fault.name(), journal(), equalTo(""));
        }
    }

    @Test
    void anInstanceWhoseLeaseWasTakenOverRecordsNothing() {
        Instance first = new Instance();
        first.acquireLease(1);
        Instance second = new Instance();
        second.acquireLease(2);
        first.advance(1);
        first.mMachine.propose(new Text("a"), mNow, first::execute);
        first.advance(2);
        assertThat(mSent, is(empty()));
        assertThat(journal(), equalTo(""));
        assertThat(first.mMachine.isReady(), is(false));
    }

    @Test
    void aSuccessorReadsTheOpenIntentsFromTheRow() {
        Instance first = new Instance();
        first.acquireLease(1);
        first.advance(1);
        mLeaseValid = false;
        first.mMachine.propose(new Text("a"), mNow, first::execute);
        first.advance(1);
        assertThat(mSent, is(empty()));
        mLeaseValid = true;
        Instance second = new Instance();
        second.acquireLease(2);
        second.advance(2);
        assertThat(mSent, contains("a"));
        assertThat(journal(), equalTo(""));
    }

    @Test
    void aMalformedJournalIsNotTakenOver() {
        mTables.commit(
                        new Commit(
                                "operator",
                                List.of(),
                                List.of(new Commit.Put("intents", ROLE, "nonsense\n")),
                                List.of()))
                .block();
        Instance instance = new Instance();
        instance.acquireLease(1);
        instance.advance(5);
        assertThat(instance.mMachine.isReady(), is(false));
        assertThat(journal(), equalTo("nonsense\n"));
    }

    @Test
    void aHigherFencingNumberAtAReceiverWhileHoldingIsAViolation() {
        Instance instance = new Instance();
        instance.acquireLease(1);
        mResult = CommandResult.STALE_FENCING;
        instance.mMachine.propose(new Text("a"), mNow, instance::execute);
        instance.advance(1);
        assertThat(mViolated.contains(Invariant.ONE_ORDERING_HOLDER), is(true));
        mViolated.clear();
        mLeaseValid = false;
        instance.advance(5);
        assertThat(mViolated, is(empty()));
    }
}

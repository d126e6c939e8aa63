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

/** Guards against intents that are lost with an answer or written without the lease. */
class RoleIntentsTest {
    private static final String ROLE = "orders/p";
    private static final long SECOND = 1_000_000_000L;

    private final FakeTableService tables = new FakeTableService();
    private final List<Invariant> violated = new ArrayList<>();
    private final List<String> sent = new ArrayList<>();
    private boolean holding = true;
    private CommandResult answer = CommandResult.DONE;
    private long now;

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

    /** One instance whose machine is called directly. */
    private final class Instance implements Leases {
        private final IntentMachine<Text> machine =
                new IntentMachine<>(
                        ROLE,
                        IntentTiming.standard(Duration.ofSeconds(10)),
                        new SplittableRandom(1),
                        InvariantMonitor.throwing());
        private final RoleIntents<Text> intents =
                new RoleIntents<>(
                        ROLE,
                        new TextCodec(),
                        new IntentServices(
                                tables,
                                this,
                                (invariant, detail) -> violated.add(invariant),
                                new SimpleMeterRegistry()),
                        (order, stillHolding) -> {
                            if (!stillHolding.getAsBoolean()) {
                                return Mono.just(CommandResult.NOT_SENT);
                            }
                            sent.add(order.intent().command().target());
                            return Mono.just(answer);
                        },
                        event -> machine.onEvent(event, now, this::carryOut));

        private void carryOut(IntentAction<Text> action) {
            intents.execute(action);
        }

        private void gain(long fencing) {
            long version = rowVersion("leases", "role/" + ROLE);
            tables.commit(
                            new Commit(
                                    "lease-" + fencing,
                                    List.of(),
                                    List.of(new Commit.Put("leases", "role/" + ROLE, "held")),
                                    List.of()))
                    .block();
            assertThat(rowVersion("leases", "role/" + ROLE) > version, is(true));
            intents.onAcquired(
                    new HeldLease(
                            ROLE,
                            fencing,
                            "leases",
                            "role/" + ROLE,
                            rowVersion("leases", "role/" + ROLE)));
        }

        private void run(int seconds) {
            for (int i = 0; i < seconds * 10; i++) {
                now += SECOND / 10;
                if (machine.nextTimerNanos() <= now) {
                    machine.onTimer(now, this::carryOut);
                }
            }
        }

        @Override
        public void request(String role, LeaseListener listener) {}

        @Override
        public void release(String role) {}

        @Override
        public Option<HeldLease> held(String role) {
            return Option.none();
        }

        @Override
        public boolean isValid(HeldLease lease) {
            return holding;
        }
    }

    private long rowVersion(String table, String key) {
        return row(table, key).map(Row::version).getOrElse(0L);
    }

    private Option<Row> row(String table, String key) {
        Option<Row> row = tables.read(table, key).block();
        return row == null ? Option.none() : row;
    }

    private String journal() {
        return row("intents", ROLE).map(Row::value).getOrElse("no row");
    }

    @Test
    void carriesAnIntentOutOnceAndEmptiesTheJournal() {
        Instance instance = new Instance();
        instance.gain(1);
        instance.machine.propose(new Text("a"), now, instance::carryOut);
        instance.run(2);
        assertThat(sent, contains("a"));
        assertThat(journal(), equalTo(""));
    }

    @Test
    void aLostAnswerToEachWriteNeitherRepeatsNorLosesTheIntent() {
        for (Fault fault : List.of(Fault.LOSE_ANSWER, Fault.LOSE_REQUEST, Fault.DOWN)) {
            sent.clear();
            Instance instance = new Instance();
            // The write of the lease row comes first.
            tables.faults().addToNextChange(Fault.NONE);
            tables.faults().addToNextChange(fault);
            instance.gain(10 + fault.ordinal());
            instance.run(2);
            tables.faults().addToNextChange(fault);
            tables.faults().addToNextChange(fault);
            instance.machine.propose(new Text("a"), now, instance::carryOut);
            instance.run(3);
            tables.faults().addToNextChange(fault);
            instance.run(3);
            instance.machine.propose(new Text("b"), now, instance::carryOut);
            instance.run(3);
            assertThat(fault.name(), sent, contains("a", "b"));
            assertThat(fault.name(), journal(), equalTo(""));
        }
    }

    @Test
    void anInstanceWhoseLeaseWasTakenOverRecordsNothing() {
        Instance first = new Instance();
        first.gain(1);
        Instance second = new Instance();
        second.gain(2);
        first.run(1);
        first.machine.propose(new Text("a"), now, first::carryOut);
        first.run(2);
        assertThat(sent, is(empty()));
        assertThat(journal(), equalTo(""));
        assertThat(first.machine.isReady(), is(false));
    }

    @Test
    void aSuccessorReadsTheOpenIntentsFromTheRow() {
        Instance first = new Instance();
        first.gain(1);
        first.run(1);
        holding = false;
        first.machine.propose(new Text("a"), now, first::carryOut);
        first.run(1);
        assertThat(sent, is(empty()));
        holding = true;
        Instance second = new Instance();
        second.gain(2);
        second.run(2);
        assertThat(sent, contains("a"));
        assertThat(journal(), equalTo(""));
    }

    @Test
    void aMalformedJournalIsNotTakenOver() {
        tables.commit(
                        new Commit(
                                "operator",
                                List.of(),
                                List.of(new Commit.Put("intents", ROLE, "nonsense\n")),
                                List.of()))
                .block();
        Instance instance = new Instance();
        instance.gain(1);
        instance.run(5);
        assertThat(instance.machine.isReady(), is(false));
        assertThat(journal(), equalTo("nonsense\n"));
    }

    @Test
    void aHigherFencingNumberAtAReceiverWhileHoldingIsAViolation() {
        Instance instance = new Instance();
        instance.gain(1);
        answer = CommandResult.STALE_FENCING;
        instance.machine.propose(new Text("a"), now, instance::carryOut);
        instance.run(1);
        assertThat(violated.contains(Invariant.ONE_ORDERING_HOLDER), is(true));
        violated.clear();
        holding = false;
        instance.run(5);
        assertThat(violated, is(empty()));
    }
}

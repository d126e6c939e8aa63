package org.fuchsialever.decisions.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;

/** Several lease duties, each on a drifting clock of its own, on one faulty table. */
final class LeaseSimulation {
    static final long MILLI = 1_000_000;
    private static final long STEP = 10 * MILLI;
    private static final double MAX_DRIFT = 0.01;
    private static final long ANSWER_TIMEOUT = 1_000 * MILLI;

    final FakeLeaseTable table = new FakeLeaseTable();
    final List<Instance> instances = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private final Random random;
    private final PriorityQueue<Delivery> network = new PriorityQueue<>();
    private final Map<String, Long> lastFencing = new TreeMap<>();
    private final Map<String, String> lastHolder = new TreeMap<>();
    private final List<String> roles;
    private long now;
    private long order;
    boolean outage;
    double lossRate;
    double pauseRate;
    int staleness;

    LeaseSimulation(long seed, List<String> roles) {
        this.random = new Random(seed);
        this.roles = roles;
    }

    Instance add(String name) {
        Instance instance = new Instance(name, instances.size());
        instances.add(instance);
        roles.forEach(role -> instance.inbox.emit(new LeaseEvent.RoleRequested(role)));
        return instance;
    }

    void run(long nanos) {
        for (long end = now + nanos; now < end; now += STEP) {
            while (!network.isEmpty() && network.peek().at <= now) {
                network.poll().run.run();
            }
            for (Instance instance : instances) {
                instance.step();
            }
            roles.forEach(this::check);
        }
    }

    /** Returns the instances that may act in a role now. */
    List<Instance> actingIn(String role) {
        return instances.stream().filter(instance -> instance.mayAct(role)).toList();
    }

    long heldRoles() {
        return roles.stream().filter(role -> !actingIn(role).isEmpty()).count();
    }

    private void check(String role) {
        List<Instance> acting = actingIn(role);
        if (acting.size() > 1) {
            violations.add(now / MILLI + " ms: " + acting.size() + " act in " + role);
        }
        for (Instance instance : acting) {
            LeaseRow.Role lease = Objects.requireNonNull(instance.held.get(role));
            if (table.versionOf(lease.key()) != lease.version()) {
                violations.add(now / MILLI + " ms: the guard row of " + role + " has changed");
            }
            String holder = lease.holder();
            long last = lastFencing.getOrDefault(role, 0L);
            boolean same = holder.equals(lastHolder.put(role, holder));
            if (same ? lease.fencing() < last : lease.fencing() <= last) {
                violations.add(now / MILLI + " ms: fencing number of " + role + " did not grow");
            }
            lastFencing.put(role, lease.fencing());
        }
    }

    private void after(long delay, Runnable run) {
        network.add(new Delivery(now + delay, order++, run));
    }

    private long latency() {
        return (1 + random.nextInt(40)) * MILLI;
    }

    private record Delivery(long at, long order, Runnable run) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** One instance with its clock, its duty and what it was told that it may do. */
    final class Instance {
        final String name;
        final Map<String, LeaseRow.Role> held = new TreeMap<>();
        private final ManualTimeSource clock = new ManualTimeSource(0);
        private final DutyStepper stepper = new DutyStepper(clock);
        private final ActionSink<LeaseEvent> inbox;
        private final double rate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final List<LeaseEvent> whilePaused = new ArrayList<>();
        private long validUntil;
        private long pausedUntil;
        private boolean dead;

        Instance(String name, int number) {
            this.name = name;
            LeaseDuty duty =
                    new LeaseDuty(
                            new InstanceId(name),
                            "start-" + number,
                            LeaseTiming.standard(),
                            new SplittableRandom(random.nextLong()));
            this.inbox = stepper.add(duty, this::carryOut);
        }

        void kill() {
            dead = true;
        }

        void pause(long nanos) {
            pausedUntil = now + nanos;
        }

        /** A paused process may resume at any moment, so a pause does not end the right to act. */
        boolean mayAct(String role) {
            return !dead && held.containsKey(role) && clock.nanoTime() < validUntil;
        }

        private void step() {
            long delta = (long) (STEP * rate);
            if (dead || now < pausedUntil) {
                clock.advanceNanos(delta);
                return;
            }
            whilePaused.forEach(inbox::emit);
            whilePaused.clear();
            stepper.advance(delta);
        }

        private void receive(LeaseEvent event) {
            if (dead || now < pausedUntil) {
                whilePaused.add(event);
            } else {
                inbox.emit(event);
            }
        }

        private void carryOut(LeaseAction action) {
            if (action instanceof LeaseAction.StartHolding start) {
                held.put(start.role().role(), start.role());
                validUntil = start.validUntilNanos();
            } else if (action instanceof LeaseAction.ExtendHolding extend) {
                validUntil = extend.validUntilNanos();
            } else if (action instanceof LeaseAction.StopHolding stop) {
                held.remove(stop.role());
            } else if (action instanceof LeaseAction.ReadTable read) {
                int behind = staleness == 0 ? 0 : random.nextInt(staleness + 1);
                request(() -> table.read(read.afterVersion(), behind), new LeaseEvent.ReadFailed());
            } else if (action instanceof LeaseAction.WriteRows write) {
                request(
                        () -> table.commit(write.commit()),
                        new LeaseEvent.WriteOutcomeUnknown(write.commit().writer()));
            }
            if (random.nextDouble() < pauseRate) {
                pause((long) (random.nextDouble() * 12_000) * MILLI);
            }
        }

        /** Sends a request that may be lost, be carried out late, or lose its answer. */
        private void request(Supplier<LeaseEvent> call, LeaseEvent timeout) {
            boolean requestLost = outage || random.nextDouble() < lossRate;
            boolean answerLost = random.nextDouble() < lossRate;
            boolean late = random.nextDouble() < lossRate;
            long delay = late ? ANSWER_TIMEOUT + 50 * latency() : latency();
            if (!requestLost) {
                after(
                        delay,
                        () -> {
                            LeaseEvent answer = call.get();
                            if (!late && !answerLost) {
                                after(latency(), () -> receive(answer));
                            }
                        });
            }
            if (requestLost || late || answerLost) {
                after(ANSWER_TIMEOUT, () -> receive(timeout));
            }
        }
    }
}

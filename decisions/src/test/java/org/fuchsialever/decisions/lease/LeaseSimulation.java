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

/** Simulates several lease duties, each with its own drifting clock, on one faulty table. */
final class LeaseSimulation {
    static final long NANOS_PER_MILLI = 1_000_000;
    private static final long STEP_NANOS = 10 * NANOS_PER_MILLI;
    private static final double MAX_DRIFT = 0.01;
    private static final long RESPONSE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

    final FakeLeaseTable mTable = new FakeLeaseTable();
    final List<Instance> mInstances = new ArrayList<>();
    final List<String> mViolations = new ArrayList<>();
    private final Random mRandom;
    private final PriorityQueue<Delivery> mNetwork = new PriorityQueue<>();
    private final Map<String, Long> mLastFencing = new TreeMap<>();
    private final Map<String, String> mLastHolder = new TreeMap<>();
    private final List<String> mRoles;
    private long mNow;
    private long mOrder;
    boolean mOutage;
    double mLossRate;
    double mPauseRate;
    int mStaleness;

    LeaseSimulation(long seed, List<String> roles) {
        mRandom = new Random(seed);
        mRoles = roles;
    }

    Instance add(String name) {
        Instance instance = new Instance(name, mInstances.size());
        mInstances.add(instance);
        mRoles.forEach(role -> instance.mInbox.emit(new LeaseEvent.RoleRequested(role)));
        return instance;
    }

    void run(long nanos) {
        for (long end = mNow + nanos; mNow < end; mNow += STEP_NANOS) {
            while (!mNetwork.isEmpty() && mNetwork.peek().at <= mNow) {
                mNetwork.poll().run.run();
            }
            for (Instance instance : mInstances) {
                instance.step();
            }
            mRoles.forEach(this::check);
        }
    }

    /** Returns the instances whose lease on a role is valid now. */
    List<Instance> actingIn(String role) {
        return mInstances.stream().filter(instance -> instance.mayAct(role)).toList();
    }

    long heldRoles() {
        return mRoles.stream().filter(role -> !actingIn(role).isEmpty()).count();
    }

    private void check(String role) {
        List<Instance> acting = actingIn(role);
        if (acting.size() > 1) {
            mViolations.add(mNow / NANOS_PER_MILLI + " ms: " + acting.size() + " act in " + role);
        }
        for (Instance instance : acting) {
            LeaseRow.Role lease = Objects.requireNonNull(instance.mHeld.get(role));
            if (mTable.versionOf(lease.key()) != lease.version()) {
                mViolations.add(
                        mNow / NANOS_PER_MILLI + " ms: the guard row of " + role + " has changed");
            }
            String holder = lease.holder();
            long last = mLastFencing.getOrDefault(role, 0L);
            boolean same = holder.equals(mLastHolder.put(role, holder));
            if (same ? lease.fencing() < last : lease.fencing() <= last) {
                mViolations.add(
                        mNow / NANOS_PER_MILLI
                                + " ms: fencing number of "
                                + role
                                + " did not grow");
            }
            mLastFencing.put(role, lease.fencing());
        }
    }

    private void schedule(long delay, Runnable run) {
        mNetwork.add(new Delivery(mNow + delay, mOrder++, run));
    }

    private long latency() {
        return (1 + mRandom.nextInt(40)) * NANOS_PER_MILLI;
    }

    private record Delivery(long at, long order, Runnable run) implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
        }
    }

    /** One instance with its clock, its duty and the leases that the duty has granted. */
    final class Instance {
        final String mName;
        final Map<String, LeaseRow.Role> mHeld = new TreeMap<>();
        private final ManualTimeSource mClock = new ManualTimeSource(0);
        private final DutyStepper mStepper = new DutyStepper(mClock);
        private final ActionSink<LeaseEvent> mInbox;
        private final double mRate = 1 + (mRandom.nextDouble() * 2 - 1) * MAX_DRIFT;
        private final List<LeaseEvent> mWhilePaused = new ArrayList<>();
        private long mValidUntil;
        private long mPausedUntil;
        private boolean mDead;

        Instance(String name, int number) {
            mName = name;
            LeaseDuty duty =
                    new LeaseDuty(
                            new InstanceId(name),
                            "start-" + number,
                            LeaseTiming.standard(),
                            new SplittableRandom(mRandom.nextLong()));
            mInbox = mStepper.add(duty, this::execute);
        }

        void kill() {
            mDead = true;
        }

        void pause(long nanos) {
            mPausedUntil = mNow + nanos;
        }

        /** A paused process may resume at any moment, so a pause does not end its leases. */
        boolean mayAct(String role) {
            return !mDead && mHeld.containsKey(role) && mClock.nanoTime() < mValidUntil;
        }

        private void step() {
            long delta = (long) (STEP_NANOS * mRate);
            if (mDead || mNow < mPausedUntil) {
                mClock.advanceNanos(delta);
                return;
            }
            mWhilePaused.forEach(mInbox::emit);
            mWhilePaused.clear();
            mStepper.advance(delta);
        }

        private void receive(LeaseEvent event) {
            if (mDead || mNow < mPausedUntil) {
                mWhilePaused.add(event);
            } else {
                mInbox.emit(event);
            }
        }

        private void execute(LeaseAction action) {
            if (action instanceof LeaseAction.StartHolding start) {
                mHeld.put(start.role().role(), start.role());
                mValidUntil = start.validUntilNanos();
            } else if (action instanceof LeaseAction.ExtendHolding extend) {
                mValidUntil = extend.validUntilNanos();
            } else if (action instanceof LeaseAction.StopHolding stop) {
                mHeld.remove(stop.role());
            } else if (action instanceof LeaseAction.ReadTable read) {
                int behind = mStaleness == 0 ? 0 : mRandom.nextInt(mStaleness + 1);
                request(
                        () -> mTable.read(read.afterVersion(), behind),
                        new LeaseEvent.ReadFailed());
            } else if (action instanceof LeaseAction.WriteRows write) {
                request(
                        () -> mTable.commit(write.commit()),
                        new LeaseEvent.WriteOutcomeUnknown(write.commit().writer()));
            }
            if (mRandom.nextDouble() < mPauseRate) {
                pause((long) (mRandom.nextDouble() * 12_000) * NANOS_PER_MILLI);
            }
        }

        /** Sends a request that may be lost, executed late, or executed with its response lost. */
        private void request(Supplier<LeaseEvent> call, LeaseEvent timeout) {
            boolean requestLost = mOutage || mRandom.nextDouble() < mLossRate;
            boolean responseLost = mRandom.nextDouble() < mLossRate;
            boolean late = mRandom.nextDouble() < mLossRate;
            long delay = late ? RESPONSE_TIMEOUT_NANOS + 50 * latency() : latency();
            if (!requestLost) {
                schedule(
                        delay,
                        () -> {
                            LeaseEvent result = call.get();
                            if (!late && !responseLost) {
                                schedule(latency(), () -> receive(result));
                            }
                        });
            }
            if (requestLost || late || responseLost) {
                schedule(RESPONSE_TIMEOUT_NANOS, () -> receive(timeout));
            }
        }
    }
}

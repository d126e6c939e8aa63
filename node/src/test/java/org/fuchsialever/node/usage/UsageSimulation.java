package org.fuchsialever.node.usage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.fuchsialever.decisions.membership.PeerMessage;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.InstanceId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.UsageSettings;
import org.fuchsialever.decisions.usage.WindowCloser;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.fake.FakeObjectStore;
import org.fuchsialever.services.fake.FakeTableService;
import org.fuchsialever.services.fake.VirtualTimers;

/** Simulates several instances in three failure domains under one manual clock. */
final class UsageSimulation {
    static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private static final long WALL_ORIGIN = 1_780_000_000_000L;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int DOMAIN_COUNT = 3;

    final ManualTimeSource mClock = new ManualTimeSource(WALL_ORIGIN);
    final VirtualTimers mTimers = new VirtualTimers(mClock);
    final DutyStepper mStepper = new DutyStepper(mClock);
    final FakeTableService mTable = new FakeTableService(mTimers);
    final FakeObjectStore mObjects = new FakeObjectStore();
    final SimulatedReceiver mReceiver = new SimulatedReceiver(mTimers);
    final List<SimulatedInstance> mInstances = new ArrayList<>();
    final UsageSettings mSettings;
    final SplittableRandom mRandom;
    UsageCounts mConsumed = UsageCounts.ZERO;
    UsageCounts mPossibleLoss = UsageCounts.ZERO;

    private final Map<String, SimulatedInstance> mHolders = new TreeMap<>();
    private final ObjectMapper mMapper = new ObjectMapper();
    private long mFencing;

    UsageSimulation(UsageSettings settings, int size, long seed) {
        mSettings = settings;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            addInstance(i);
        }
    }

    /** Returns settings with windows of 20 s that are closed 30 s after their end. */
    static UsageSettings shortWindows() {
        return new UsageSettings(20_000, 900_000, 30_000, 1_000, 8);
    }

    static UsageKey key(String team, UsageClass usageClass) {
        return new UsageKey(new TeamName(team), new RouteName("chat"), usageClass);
    }

    SimulatedInstance addInstance(int number) {
        SimulatedInstance instance =
                new SimulatedInstance(
                        this,
                        new StartId(new InstanceId("node-" + number), "s" + mInstances.size()),
                        new FailureDomain("d" + number % DOMAIN_COUNT));
        mInstances.add(instance);
        return instance;
    }

    /** Assigns all roles to one instance. */
    void assignAllRolesTo(SimulatedInstance holder) {
        for (int i = 0; i < WindowCloser.ROLE_COUNT; i++) {
            assignRole(i, holder);
        }
    }

    void assignRole(int number, SimulatedInstance holder) {
        String role = WindowCloser.role(number);
        Option<SimulatedInstance> previous = Option.of(mHolders.put(role, holder));
        holder.mLeases.assignRole(
                previous.map(instance -> instance.mLeases), role, ++mFencing, mTable);
    }

    Option<SimulatedInstance> holder(int number) {
        return Option.of(mHolders.get(WindowCloser.role(number)));
    }

    void advance(Duration duration) {
        for (long left = duration.toMillis(); left > 0; left -= STEP.toMillis()) {
            mStepper.advance(STEP.toNanos());
            mTimers.runDue();
            mStepper.runPending();
        }
    }

    long randomCommitPhase() {
        return mRandom.nextLong(UsageSettings.COMMIT_INTERVAL_NANOS);
    }

    /** Delivers a message after up to 100 ms, and every fourth one twice. */
    void deliver(InstanceId receiver, PeerMessage.UsageHandover message) {
        int copies = mRandom.nextInt(4) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            mTimers.after(Duration.ofMillis(1 + mRandom.nextInt(100)))
                    .subscribe(
                            done -> {},
                            failure -> {},
                            () ->
                                    mInstances.stream()
                                            .filter(to -> to.mStart.instance().equals(receiver))
                                            .forEach(to -> to.receive(message)));
        }
    }

    /** Returns the sum of all reported windows and corrections. */
    UsageCounts reported() {
        UsageCounts sum = UsageCounts.ZERO;
        for (String text : mReceiver.mReports.values()) {
            JsonNode report = json(text);
            sum = sum.plus(sum(report.get("totals")));
            for (JsonNode correction : report.get("corrections")) {
                sum = sum.plus(sum(correction.get("totals")));
            }
        }
        return sum;
    }

    JsonNode json(String text) {
        try {
            return mMapper.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static UsageCounts sum(JsonNode lines) {
        UsageCounts sum = UsageCounts.ZERO;
        for (JsonNode line : lines) {
            sum =
                    sum.plus(
                            new UsageCounts(
                                    line.get("requests").asLong(),
                                    line.get("prompt_tokens").asLong(),
                                    line.get("generated_tokens").asLong()));
        }
        return sum;
    }
}

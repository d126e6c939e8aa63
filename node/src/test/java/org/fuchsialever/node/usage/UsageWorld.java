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

/** Several instances in three failure domains under one manual clock. */
final class UsageWorld {
    static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private static final long WALL_ORIGIN = 1_780_000_000_000L;
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int DOMAINS = 3;

    final ManualTimeSource clock = new ManualTimeSource(WALL_ORIGIN);
    final VirtualTimers delays = new VirtualTimers(clock);
    final DutyStepper stepper = new DutyStepper(clock);
    final FakeTableService table = new FakeTableService(delays);
    final FakeObjectStore objects = new FakeObjectStore();
    final SimulatedReceiver receiver = new SimulatedReceiver(delays);
    final List<SimulatedInstance> instances = new ArrayList<>();
    final UsageSettings settings;
    final SplittableRandom random;
    UsageCounts consumed = UsageCounts.ZERO;
    UsageCounts mayBeLost = UsageCounts.ZERO;

    private final Map<String, SimulatedInstance> holders = new TreeMap<>();
    private final ObjectMapper mapper = new ObjectMapper();
    private long fencing;

    UsageWorld(UsageSettings settings, int size, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            addInstance(i);
        }
    }

    /** Windows of 20 s that are closed 30 s after their end. */
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
                        new StartId(new InstanceId("node-" + number), "s" + instances.size()),
                        new FailureDomain("d" + number % DOMAINS));
        instances.add(instance);
        return instance;
    }

    /** Lets one instance hold all roles. */
    void giveAllRolesTo(SimulatedInstance holder) {
        for (int i = 0; i < WindowCloser.ROLE_COUNT; i++) {
            giveRole(i, holder);
        }
    }

    void giveRole(int number, SimulatedInstance holder) {
        String role = WindowCloser.role(number);
        Option<SimulatedInstance> former = Option.of(holders.put(role, holder));
        holder.leases.takeFrom(former.map(f -> f.leases), role, ++fencing, table);
    }

    Option<SimulatedInstance> holder(int number) {
        return Option.of(holders.get(WindowCloser.role(number)));
    }

    void advance(Duration duration) {
        for (long left = duration.toMillis(); left > 0; left -= STEP.toMillis()) {
            stepper.advance(STEP.toNanos());
            delays.runDue();
            stepper.runPending();
        }
    }

    long phase() {
        return random.nextLong(UsageSettings.COMMIT_INTERVAL_NANOS);
    }

    /** Delivers a message after up to 100 ms, and every fourth one twice. */
    void deliver(InstanceId receiver, PeerMessage.UsageHandover message) {
        int copies = random.nextInt(4) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            delays.after(Duration.ofMillis(1 + random.nextInt(100)))
                    .subscribe(
                            nothing -> {},
                            failure -> {},
                            () ->
                                    instances.stream()
                                            .filter(i2 -> i2.start.instance().equals(receiver))
                                            .forEach(i2 -> i2.receive(message)));
        }
    }

    /** Returns the sum of all reported windows and corrections. */
    UsageCounts reported() {
        UsageCounts sum = UsageCounts.ZERO;
        for (String text : receiver.reports.values()) {
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
            return mapper.readTree(text);
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

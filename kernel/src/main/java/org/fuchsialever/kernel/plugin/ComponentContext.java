package org.fuchsialever.kernel.plugin;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.DutyThread;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.lifecycle.Closer;
import org.fuchsialever.kernel.settings.SettingsReader;
import org.fuchsialever.kernel.time.TimeSource;

/** Services, settings and resources that components of one process share. */
public final class ComponentContext {
    private final Map<Class<?>, Object> services = new HashMap<>();
    private final SettingsReader settings;
    private final Closer closer;
    private final TimeSource time;
    private final long randomSeed;
    private final MeterRegistry meters;

    /**
     * Creates a context.
     *
     * @param closer closes the resources of all components
     * @param randomSeed the seed from which the seed of each random source is derived
     */
    public ComponentContext(
            SettingsReader settings,
            Closer closer,
            TimeSource time,
            long randomSeed,
            MeterRegistry meters) {
        this.settings = settings;
        this.closer = closer;
        this.time = time;
        this.randomSeed = randomSeed;
        this.meters = meters;
    }

    /**
     * Returns a service.
     *
     * @param type the type that it was provided as
     * @throws IllegalStateException if no component provided it
     */
    public <T> T require(Class<T> type) {
        Object service = services.get(type);
        if (service == null) {
            throw new IllegalStateException("no component provides " + type.getName());
        }
        return type.cast(service);
    }

    /** Returns a service, or none if no component provided it. */
    public <T> Option<T> find(Class<T> type) {
        return Option.of(services.get(type)).map(type::cast);
    }

    /**
     * Makes a service available to components that are installed later.
     *
     * @throws IllegalStateException if the type has been provided before
     */
    public <T> void provide(Class<T> type, T service) {
        if (services.putIfAbsent(type, service) != null) {
            throw new IllegalStateException(type.getName() + " is provided twice");
        }
    }

    /** Returns the settings of the process. */
    public SettingsReader settings() {
        return settings;
    }

    /** Returns the closer that releases the resources of the process. */
    public Closer closer() {
        return closer;
    }

    /** Returns the clock of the process. */
    public TimeSource time() {
        return time;
    }

    /** Returns a new random source, seeded from the seed of the process and the purpose. */
    public RandomGenerator random(String purpose) {
        return new SplittableRandom(randomSeed * 31 + purpose.hashCode());
    }

    /** Returns the registry for all metrics. */
    public MeterRegistry meters() {
        return meters;
    }

    /**
     * Starts a duty on a thread of its own and registers the thread with the closer.
     *
     * @param capacity the number of events that the inbox of the duty holds
     * @param overflow what happens to an event when the inbox is full
     * @param actions executes the actions, on the thread of the duty; must not block
     * @return the inbox of the duty
     */
    public <E, A> Inbox<E> startDuty(
            Duty<E, A> duty, int capacity, OverflowPolicy overflow, ActionSink<A> actions) {
        return startDutyWith(duty, capacity, overflow, inbox -> actions);
    }

    /**
     * Starts a duty whose actions lead to further events of the same duty.
     *
     * @param capacity the number of events that the inbox of the duty holds
     * @param overflow what happens to an event when the inbox is full
     * @param actions creates the executor of the actions, given the inbox of the duty
     * @return the inbox of the duty
     */
    public <E, A> Inbox<E> startDutyWith(
            Duty<E, A> duty,
            int capacity,
            OverflowPolicy overflow,
            Function<Inbox<E>, ActionSink<A>> actions) {
        Inbox<E> inbox = new Inbox<>(capacity, overflow);
        DutyThread<E, A> thread = new DutyThread<>(duty, inbox, actions.apply(inbox), time);
        String name = duty.dutyName();
        meters.gauge("fuchsialever.ring.size." + name, inbox, Inbox::size);
        meters.gauge("fuchsialever.ring.overflows." + name, inbox, Inbox::overflowCount);
        meters.gauge("fuchsialever.duty.failures." + name, thread, DutyThread::failureCount);
        closer.register("duty " + name, thread);
        thread.start();
        return inbox;
    }
}

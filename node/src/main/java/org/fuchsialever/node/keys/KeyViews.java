package org.fuchsialever.node.keys;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.keys.KeyView;
import org.fuchsialever.decisions.model.KeyId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Holds the current key view and the running calls that a withdrawal ends. */
final class KeyViews implements RunningCalls {
    private final Map<KeyId, Collection<Registration>> running = new ConcurrentHashMap<>();
    private final Collection<Confirmation> confirmations = new CopyOnWriteArrayList<>();
    private volatile KeyView current = KeyView.NONE;

    KeyView current() {
        return current;
    }

    void publish(KeyView view) {
        current = view;
        confirm();
    }

    /** Returns a signal that completes when this instance refuses the key as withdrawn. */
    Mono<Void> whenWithdrawn(KeyId key) {
        Confirmation confirmation = new Confirmation(key, Sinks.empty());
        confirmations.add(confirmation);
        confirm();
        return confirmation.signal.asMono().doFinally(signal -> confirmations.remove(confirmation));
    }

    @Override
    public AutoCloseable register(KeyId key, Runnable end) {
        Registration registration = new Registration(key, end);
        running.compute(
                key,
                (id, registered) -> {
                    Collection<Registration> calls =
                            registered == null ? ConcurrentHashMap.newKeySet() : registered;
                    calls.add(registration);
                    return calls;
                });
        // Read after registering: earlier changes are seen here, later ones find the registration.
        KeyView view = current;
        if (!view.usable() || view.table().isWithdrawn(key)) {
            registration.end();
        }
        return registration;
    }

    /** Ends the calls of a key and returns their number. */
    int endCalls(KeyId key) {
        Collection<Registration> calls = running.remove(key);
        int ended = 0;
        for (Registration call : calls == null ? List.<Registration>of() : calls) {
            ended += call.end() ? 1 : 0;
        }
        return ended;
    }

    /** Ends the calls of all keys and returns their number. */
    int endAllCalls() {
        return List.copyOf(running.keySet()).stream().mapToInt(this::endCalls).sum();
    }

    private void confirm() {
        for (Confirmation confirmation : confirmations) {
            if (current.table().isWithdrawn(confirmation.key)) {
                confirmation.signal.tryEmitEmpty();
            }
        }
    }

    private void remove(Registration registration) {
        running.computeIfPresent(
                registration.key,
                (id, calls) -> {
                    calls.remove(registration);
                    return calls.isEmpty() ? null : calls;
                });
    }

    private record Confirmation(KeyId key, Sinks.Empty<Void> signal) {}

    private final class Registration implements AutoCloseable {
        private final KeyId key;
        private final Runnable end;
        private boolean ended;

        Registration(KeyId key, Runnable end) {
            this.key = key;
            this.end = end;
        }

        boolean end() {
            if (!markEnded()) {
                return false;
            }
            remove(this);
            end.run();
            return true;
        }

        @Override
        public void close() {
            if (markEnded()) {
                remove(this);
            }
        }

        private synchronized boolean markEnded() {
            boolean first = !ended;
            ended = true;
            return first;
        }
    }
}

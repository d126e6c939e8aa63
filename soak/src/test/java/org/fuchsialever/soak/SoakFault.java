package org.fuchsialever.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fuchsialever.platform.StoreStandIn;
import org.fuchsialever.platform.UpstreamStandIn;

/** A disturbance from outside. */
enum SoakFault {
    /** An instance is killed and starts again. */
    KILL(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            InstanceProgram instance = any(world.instances(), random);
            world.record().interrupted(instance.name());
            instance.kill();
            return instance::startAgain;
        }
    },
    /** An instance is told to stop and starts again as soon as it has ended. */
    TERMINATE(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            InstanceProgram instance = any(world.instances(), random);
            world.record().interrupted(instance.name());
            instance.terminate(world.record());
            return () -> {};
        }
    },
    /** An instance stands still. */
    PAUSE(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) throws IOException {
            InstanceProgram instance = any(world.instances(), random);
            world.record().interrupted(instance.name());
            instance.pause();
            return instance::resume;
        }
    },
    /** An instance is told that its settings have changed. */
    RELOAD(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) throws IOException {
            any(world.instances(), random).reload();
            return () -> {};
        }
    },
    /** All instances are killed at once. */
    KILL_ALL(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            for (InstanceProgram instance : world.instances()) {
                world.record().interrupted(instance.name());
                instance.kill();
            }
            return () -> {
                for (InstanceProgram instance : world.instances()) {
                    instance.startAgain();
                }
            };
        }
    },
    /** The link of an instance to the store is disturbed. */
    STORE_LINK(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            return disturb(any(world.instances(), random).storeLink(), random);
        }
    },
    /** The link of the callers to an instance is disturbed. */
    ENTRY_LINK(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            return disturb(any(world.instances(), random).entryLink(), random);
        }
    },
    /** The link to an upstream is disturbed. */
    UPSTREAM_LINK(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            return disturb(any(List.copyOf(world.upstreamLinks().values()), random), random);
        }
    },
    /** The store refuses, is silent or loses answers. */
    STORE(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            StoreStandIn.Mode[] modes = StoreStandIn.Mode.values();
            world.store().setMode(modes[1 + random.nextInt(modes.length - 1)]);
            return () -> world.store().setMode(StoreStandIn.Mode.UP);
        }
    },
    /** The store forgets its history. */
    STORE_HISTORY(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            world.store().discardHistory();
            return () -> {};
        }
    },
    /** An upstream refuses, loses answers, breaks streams off or is mute. */
    UPSTREAM(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            UpstreamStandIn upstream = any(List.copyOf(world.upstreams().values()), random);
            List<UpstreamStandIn.Behaviour> behaviours =
                    new ArrayList<>(List.of(UpstreamStandIn.Behaviour.values()));
            behaviours.remove(UpstreamStandIn.Behaviour.HEALTHY);
            // Callers and trainers are told of these failures, so nothing mends them.
            behaviours.remove(UpstreamStandIn.Behaviour.REJECTS_CALLS);
            behaviours.remove(UpstreamStandIn.Behaviour.FAILS_RESUMED_STREAMS);
            behaviours.remove(UpstreamStandIn.Behaviour.ANNOUNCES_LEAVING);
            if (!upstream.isEngine()) {
                behaviours.remove(UpstreamStandIn.Behaviour.INTERRUPTS_STREAMS);
            }
            behaviours.removeIf(behaviour -> STUTTERING.contains(behaviour));
            upstream.setBehaviour(any(behaviours, random));
            return () -> upstream.setBehaviour(UpstreamStandIn.Behaviour.HEALTHY);
        }
    },
    /** An upstream succeeds or fails, and sends each response twice. */
    UPSTREAM_STUTTERS(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            return stutter(List.of(any(List.copyOf(world.upstreams().values()), random)), random);
        }
    },
    /** All upstreams succeed or fail, and send each response twice. */
    UPSTREAMS_STUTTER(false) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            return stutter(List.copyOf(world.upstreams().values()), random);
        }
    },
    /** An upstream says that it is leaving, or its row is written and removed, and comes back. */
    UPSTREAM_LEAVES(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            String id = any(List.copyOf(world.upstreams().keySet()), random);
            if (random.nextBoolean()) {
                world.register(id, "draining");
            } else {
                world.register(id, "ready");
                world.unregister(id);
            }
            return () -> world.register(id, "ready");
        }
    },
    /** An upstream announces in its responses that it is leaving, and starts again. */
    UPSTREAM_ANNOUNCES_LEAVING(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            Map.Entry<String, UpstreamStandIn> chosen =
                    any(List.copyOf(world.upstreams().entrySet()), random);
            chosen.getValue().setBehaviour(UpstreamStandIn.Behaviour.ANNOUNCES_LEAVING);
            return () -> {
                chosen.getValue().startAgain();
                world.register(chosen.getKey(), "ready");
            };
        }
    },
    /** The manifest changes. */
    MANIFEST(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            world.changeManifest();
            return () -> {};
        }
    },
    /** A trainer names a weight version. */
    WEIGHT_VERSION(true) {
        @Override
        Healing begin(SoakWorld world, RandomGenerator random) {
            world.nameWeightVersion();
            return () -> {};
        }
    };

    private static final List<UpstreamStandIn.Behaviour> STUTTERING =
            List.of(
                    UpstreamStandIn.Behaviour.STUTTERS_AT_ONCE,
                    UpstreamStandIn.Behaviour.STUTTERS_LATE,
                    UpstreamStandIn.Behaviour.STUTTERS_BEFORE_NEXT,
                    UpstreamStandIn.Behaviour.STUTTERS_IN_PARTS,
                    UpstreamStandIn.Behaviour.STUTTERS_CUT_SHORT);

    private final boolean mPlanned;

    SoakFault(boolean planned) {
        mPlanned = planned;
    }

    /** Returns whether operators do this on purpose, so that no caller may notice it. */
    boolean isPlanned() {
        return mPlanned;
    }

    /**
     * Begins the disturbance.
     *
     * @return what ends it
     */
    abstract Healing begin(SoakWorld world, RandomGenerator random) throws IOException;

    private static <T> T any(List<T> choices, RandomGenerator random) {
        return choices.get(random.nextInt(choices.size()));
    }

    private static Healing stutter(List<UpstreamStandIn> upstreams, RandomGenerator random) {
        upstreams.forEach(upstream -> upstream.setBehaviour(any(STUTTERING, random)));
        return () ->
                upstreams.forEach(
                        upstream -> upstream.setBehaviour(UpstreamStandIn.Behaviour.HEALTHY));
    }

    private static Healing disturb(LoopbackProxy link, RandomGenerator random) {
        List<LinkState> states = new ArrayList<>(List.of(LinkState.values()));
        states.remove(LinkState.SOUND);
        link.behave(any(states, random));
        return () -> link.behave(LinkState.SOUND);
    }

    /** What ends a disturbance. */
    @FunctionalInterface
    interface Healing {

        /** Ends it. */
        void run() throws IOException;
    }
}

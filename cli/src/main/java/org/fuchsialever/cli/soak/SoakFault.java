package org.fuchsialever.cli.soak;

/** A fault that begins at a random moment and is over after a random time. */
enum SoakFault {
    STORE_DOWN(12_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.store.down = true;
            return () -> world.store.down = false;
        }
    },
    /** Kept short: the bounds of the service assume that a read lags by a few seconds at most. */
    STALE_READS(2_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.beginStaleReads();
            return world::endStaleReads;
        }
    },
    ANSWERS_LOST(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.lossPercent = 30;
            return () -> world.lossPercent = 0;
        }
    },
    ATTEMPTS_BROKEN(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.upstreams.brokenPercent = 25;
            return () -> world.upstreams.brokenPercent = 0;
        }
    },
    ATTEMPTS_SILENT(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.upstreams.silentPercent = 10;
            return () -> world.upstreams.silentPercent = 0;
        }
    },
    UPSTREAM_CRASHED(5_000) {
        @Override
        Runnable begin(SoakWorld world) {
            return world.crashUpstream();
        }
    },
    UPSTREAM_LEAVING(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            return world.leaveUpstream();
        }
    },
    INSTANCE_CRASHED(3_000) {
        @Override
        Runnable begin(SoakWorld world) {
            return world.crashInstance();
        }
    },
    INSTANCE_PAUSED(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            SoakInstance instance = world.anyInstance();
            instance.pause();
            return instance::resume;
        }
    };

    private final int maxMillis;

    SoakFault(int maxMillis) {
        this.maxMillis = maxMillis;
    }

    int maxMillis() {
        return maxMillis;
    }

    /** Begins the fault and returns what ends it. */
    abstract Runnable begin(SoakWorld world);
}

package org.fuchsialever.cli.soak;

/** A fault that begins at a random moment and is over after a random time. */
enum SoakFault {
    STORE_DOWN(12_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.mStore.mDown = true;
            return () -> world.mStore.mDown = false;
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
            world.mLossPercent = 30;
            return () -> world.mLossPercent = 0;
        }
    },
    ATTEMPTS_BROKEN(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.mUpstreams.mBrokenPercent = 25;
            return () -> world.mUpstreams.mBrokenPercent = 0;
        }
    },
    ATTEMPTS_SILENT(8_000) {
        @Override
        Runnable begin(SoakWorld world) {
            world.mUpstreams.mSilentPercent = 10;
            return () -> world.mUpstreams.mSilentPercent = 0;
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

    private final int mMaxMillis;

    SoakFault(int maxMillis) {
        mMaxMillis = maxMillis;
    }

    int maxMillis() {
        return mMaxMillis;
    }

    /** Begins the fault and returns what ends it. */
    abstract Runnable begin(SoakWorld world);
}

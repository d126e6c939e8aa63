package org.fuchsialever.standins;

import java.time.Duration;
import java.util.function.ToIntFunction;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.kernel.time.TimeSource;

/** Options of an {@link EngineStandIn}; every method returns this object. */
public final class EngineOptions {
    String mStartId = "engine-start-1";
    int mSlots = 8;
    int mQueueCapacity = 64;
    int mCacheEntries = 16;
    int mCacheEventDropInterval;
    long mWeightVersion;
    boolean mEnforceFencing = true;
    Duration mTokenInterval = Duration.ofMillis(1);
    Duration mTimeToFirstToken = Duration.ZERO;
    Duration mCachedTimeToFirstToken = Duration.ZERO;
    Duration mLoadReportLag = Duration.ZERO;
    Duration mVersionLoadTime = Duration.ZERO;
    TimeSource mTimeSource = SystemTimeSource.INSTANCE;
    ToIntFunction<String> mResponseLength = prompt -> Integer.MAX_VALUE;

    /** Sets the start ID, which identifies one start of the engine process. */
    public EngineOptions startId(String id) {
        mStartId = id;
        return this;
    }

    /** Sets how many requests run at the same time. */
    public EngineOptions slots(int count) {
        mSlots = count;
        return this;
    }

    /** Sets how many requests may wait for a slot. */
    public EngineOptions queueCapacity(int count) {
        mQueueCapacity = count;
        return this;
    }

    /** Sets the capacity of the prefix cache, in prompt prefixes. */
    public EngineOptions cacheEntries(int count) {
        mCacheEntries = count;
        return this;
    }

    /** Drops every n-th cache event; 0 drops none. */
    public EngineOptions cacheEventDropInterval(int interval) {
        mCacheEventDropInterval = interval;
        return this;
    }

    /** Sets the weight version at the start. */
    public EngineOptions weightVersion(long version) {
        mWeightVersion = version;
        return this;
    }

    /** Sets whether orders with an outdated fencing token are refused. */
    public EngineOptions enforceFencing(boolean enforce) {
        mEnforceFencing = enforce;
        return this;
    }

    /** Sets the time between two tokens of a request. */
    public EngineOptions tokenInterval(Duration interval) {
        mTokenInterval = interval;
        return this;
    }

    /** Sets the time to the first token for uncached and for cached prefixes. */
    public EngineOptions timeToFirstToken(Duration uncached, Duration cached) {
        mTimeToFirstToken = uncached;
        mCachedTimeToFirstToken = cached;
        return this;
    }

    /** Sets the age of the load that load reports show. */
    public EngineOptions loadReportLag(Duration lag) {
        mLoadReportLag = lag;
        return this;
    }

    /** Sets the clock of the load reports. */
    public EngineOptions timeSource(TimeSource source) {
        mTimeSource = source;
        return this;
    }

    /** Sets how long loading a weight version takes. */
    public EngineOptions versionLoadTime(Duration time) {
        mVersionLoadTime = time;
        return this;
    }

    /** Sets the number of tokens generated for a prompt, before the limit {@code max_tokens}. */
    public EngineOptions responseLength(ToIntFunction<String> length) {
        mResponseLength = length;
        return this;
    }

    /**
     * Returns a length function that makes about one prompt in {@code every} a straggler.
     *
     * @param median tokens of a response that is not a straggler
     * @param every average number of prompts per straggler
     * @param factor length of a straggler relative to {@code median}
     */
    public static ToIntFunction<String> stragglers(int median, int every, int factor) {
        return prompt -> Math.floorMod(prompt.hashCode(), every) == 0 ? median * factor : median;
    }
}

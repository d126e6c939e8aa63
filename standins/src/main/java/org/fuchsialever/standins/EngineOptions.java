package org.fuchsialever.standins;

import java.time.Duration;
import java.util.function.ToIntFunction;
import org.fuchsialever.kernel.time.SystemTimeSource;
import org.fuchsialever.kernel.time.TimeSource;

/** Options of an {@link EngineStandIn}; every method returns this object. */
public final class EngineOptions {
    String startId = "engine-start-1";
    int slots = 8;
    int queueCapacity = 64;
    int cacheEntries = 16;
    int cacheEventDropInterval;
    long weightVersion;
    boolean enforceFencing = true;
    Duration tokenInterval = Duration.ofMillis(1);
    Duration timeToFirstToken = Duration.ZERO;
    Duration cachedTimeToFirstToken = Duration.ZERO;
    Duration loadReportLag = Duration.ZERO;
    Duration versionLoadTime = Duration.ZERO;
    TimeSource timeSource = SystemTimeSource.INSTANCE;
    ToIntFunction<String> responseLength = prompt -> Integer.MAX_VALUE;

    /** Sets the start ID, which identifies one start of the engine process. */
    public EngineOptions startId(String id) {
        startId = id;
        return this;
    }

    /** Sets how many requests run at the same time. */
    public EngineOptions slots(int count) {
        slots = count;
        return this;
    }

    /** Sets how many requests may wait for a slot. */
    public EngineOptions queueCapacity(int count) {
        queueCapacity = count;
        return this;
    }

    /** Sets the capacity of the prefix cache, in prompt prefixes. */
    public EngineOptions cacheEntries(int count) {
        cacheEntries = count;
        return this;
    }

    /** Drops every n-th cache event; 0 drops none. */
    public EngineOptions cacheEventDropInterval(int interval) {
        cacheEventDropInterval = interval;
        return this;
    }

    /** Sets the weight version at the start. */
    public EngineOptions weightVersion(long version) {
        weightVersion = version;
        return this;
    }

    /** Sets whether orders with an outdated fencing token are refused. */
    public EngineOptions enforceFencing(boolean enforce) {
        enforceFencing = enforce;
        return this;
    }

    /** Sets the time between two tokens of a request. */
    public EngineOptions tokenInterval(Duration interval) {
        tokenInterval = interval;
        return this;
    }

    /** Sets the time to the first token for uncached and for cached prefixes. */
    public EngineOptions timeToFirstToken(Duration uncached, Duration cached) {
        timeToFirstToken = uncached;
        cachedTimeToFirstToken = cached;
        return this;
    }

    /** Sets the age of the load that load reports show. */
    public EngineOptions loadReportLag(Duration lag) {
        loadReportLag = lag;
        return this;
    }

    /** Sets the clock of the load reports. */
    public EngineOptions timeSource(TimeSource source) {
        timeSource = source;
        return this;
    }

    /** Sets how long loading a weight version takes. */
    public EngineOptions versionLoadTime(Duration time) {
        versionLoadTime = time;
        return this;
    }

    /** Sets the number of tokens generated for a prompt, before the limit {@code max_tokens}. */
    public EngineOptions responseLength(ToIntFunction<String> length) {
        responseLength = length;
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

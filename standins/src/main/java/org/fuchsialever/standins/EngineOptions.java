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

    /** Sets the identity of this start of the engine. */
    public EngineOptions startId(String identity) {
        startId = identity;
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

    /** Sets the number of prompt prefixes in the cache. */
    public EngineOptions cacheEntries(int count) {
        cacheEntries = count;
        return this;
    }

    /** Loses every n-th cache event; 0 loses none. */
    public EngineOptions cacheEventDropInterval(int every) {
        cacheEventDropInterval = every;
        return this;
    }

    /** Sets the weight version at the start. */
    public EngineOptions weightVersion(long version) {
        weightVersion = version;
        return this;
    }

    /** Sets whether orders with an old fencing number are refused. */
    public EngineOptions enforceFencing(boolean enforce) {
        enforceFencing = enforce;
        return this;
    }

    /** Sets the time between two tokens of a request. */
    public EngineOptions tokenInterval(Duration interval) {
        tokenInterval = interval;
        return this;
    }

    /** Sets the time to the first token, without and with a cached prefix. */
    public EngineOptions timeToFirstToken(Duration uncached, Duration cached) {
        timeToFirstToken = uncached;
        cachedTimeToFirstToken = cached;
        return this;
    }

    /** Sets how old the state in load reports is. */
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

    /** Sets the natural number of tokens of an answer; {@code max_tokens} limits it. */
    public EngineOptions responseLength(ToIntFunction<String> length) {
        responseLength = length;
        return this;
    }

    /**
     * Returns a length function by which about one prompt in {@code every} gives a straggler.
     *
     * @param median tokens of an ordinary answer
     * @param every one prompt in so many is a straggler
     * @param factor how many times longer a straggler is
     */
    public static ToIntFunction<String> stragglers(int median, int every, int factor) {
        return prompt -> Math.floorMod(prompt.hashCode(), every) == 0 ? median * factor : median;
    }
}

package org.fuchsialever.standins;

import java.time.Duration;

/** Options of a {@link TrainerStandIn}; every method returns this object. */
public final class TrainerOptions {
    String trainer = "trainer-1";
    String model = "small";
    String key = "";
    int groups = 4;
    int samples = 4;
    int maxTokens = 16;
    int stepsAhead = 1;
    long maxStaleness = 2;
    Duration deadline = Duration.ofMinutes(11);
    Duration longPoll = Duration.ofSeconds(1);
    Duration trainingTime = Duration.ofMillis(100);
    Duration retryDelay = Duration.ofMillis(50);

    /** Sets the name of the trainer. */
    public TrainerOptions trainer(String name) {
        trainer = name;
        return this;
    }

    /** Sets the model. */
    public TrainerOptions model(String name) {
        model = name;
        return this;
    }

    /** Sets the key sent as bearer token; empty sends none. */
    public TrainerOptions key(String secret) {
        key = secret;
        return this;
    }

    /** Sets the groups of a step, the samples of a group and the token limit of a sample. */
    public TrainerOptions step(int groupCount, int samplesPerGroup, int tokensPerSample) {
        groups = groupCount;
        samples = samplesPerGroup;
        maxTokens = tokensPerSample;
        return this;
    }

    /** Sets how many steps are submitted before the step that is being collected is complete. */
    public TrainerOptions stepsAhead(int steps) {
        stepsAhead = steps;
        return this;
    }

    /** Sets the maximum staleness of a sample, in weight versions. */
    public TrainerOptions maxStaleness(long versions) {
        maxStaleness = versions;
        return this;
    }

    /** Sets the deadline of a step. */
    public TrainerOptions deadline(Duration time) {
        deadline = time;
        return this;
    }

    /** Sets the maximum duration of a long poll. */
    public TrainerOptions longPoll(Duration time) {
        longPoll = time;
        return this;
    }

    /** Sets how long training on a step takes. */
    public TrainerOptions trainingTime(Duration time) {
        trainingTime = time;
        return this;
    }

    /** Sets the delay before a failed request is retried. */
    public TrainerOptions retryDelay(Duration time) {
        retryDelay = time;
        return this;
    }
}

package org.fuchsialever.standins;

import java.time.Duration;

/** Options of a {@link TrainerStandIn}; every method returns this object. */
public final class TrainerOptions {
    String mTrainer = "trainer-1";
    String mModel = "small";
    String mKey = "";
    int mGroups = 4;
    int mSamples = 4;
    int mMaxTokens = 16;
    int mStepsAhead = 1;
    long mMaxStaleness = 2;
    Duration mDeadline = Duration.ofMinutes(11);
    Duration mLongPoll = Duration.ofSeconds(1);
    Duration mTrainingTime = Duration.ofMillis(100);
    Duration mRetryDelay = Duration.ofMillis(50);

    /** Sets the name of the trainer. */
    public TrainerOptions trainer(String name) {
        mTrainer = name;
        return this;
    }

    /** Sets the model. */
    public TrainerOptions model(String name) {
        mModel = name;
        return this;
    }

    /** Sets the key sent as bearer token; empty sends none. */
    public TrainerOptions key(String secret) {
        mKey = secret;
        return this;
    }

    /** Sets the groups of a step, the samples of a group and the token limit of a sample. */
    public TrainerOptions step(int groupCount, int samplesPerGroup, int tokensPerSample) {
        mGroups = groupCount;
        mSamples = samplesPerGroup;
        mMaxTokens = tokensPerSample;
        return this;
    }

    /** Sets how many steps are submitted before the step that is being collected is complete. */
    public TrainerOptions stepsAhead(int steps) {
        mStepsAhead = steps;
        return this;
    }

    /** Sets the maximum staleness of a sample, in weight versions. */
    public TrainerOptions maxStaleness(long versions) {
        mMaxStaleness = versions;
        return this;
    }

    /** Sets the deadline of a step. */
    public TrainerOptions deadline(Duration time) {
        mDeadline = time;
        return this;
    }

    /** Sets the maximum duration of a long poll. */
    public TrainerOptions longPoll(Duration time) {
        mLongPoll = time;
        return this;
    }

    /** Sets how long training on a step takes. */
    public TrainerOptions trainingTime(Duration time) {
        mTrainingTime = time;
        return this;
    }

    /** Sets the delay before a failed request is retried. */
    public TrainerOptions retryDelay(Duration time) {
        mRetryDelay = time;
        return this;
    }
}

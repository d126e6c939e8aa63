package org.fuchsialever.decisions.dispatch;

/** A sum that loses half of its value in each half-life. */
final class DecayingSum {
    private final double mHalfLifeNanos;
    private double mValue;
    private long mUpdatedAt;

    DecayingSum(long halfLifeNanos) {
        mHalfLifeNanos = halfLifeNanos;
    }

    void add(double amount, long nowNanos) {
        mValue = at(nowNanos) + amount;
        mUpdatedAt = nowNanos;
    }

    void set(double newValue, long nowNanos) {
        mValue = newValue;
        mUpdatedAt = nowNanos;
    }

    double at(long nowNanos) {
        if (mValue == 0) {
            return 0;
        }
        return mValue * Math.pow(0.5, (nowNanos - mUpdatedAt) / mHalfLifeNanos);
    }
}

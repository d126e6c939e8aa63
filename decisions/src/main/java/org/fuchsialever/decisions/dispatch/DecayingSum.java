package org.fuchsialever.decisions.dispatch;

/** A sum that loses half of its value in each half-life. */
final class DecayingSum {
    private final double halfLifeNanos;
    private double value;
    private long updatedAt;

    DecayingSum(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void add(double amount, long nowNanos) {
        value = at(nowNanos) + amount;
        updatedAt = nowNanos;
    }

    void set(double newValue, long nowNanos) {
        value = newValue;
        updatedAt = nowNanos;
    }

    double at(long nowNanos) {
        if (value == 0) {
            return 0;
        }
        return value * Math.pow(0.5, (nowNanos - updatedAt) / halfLifeNanos);
    }
}

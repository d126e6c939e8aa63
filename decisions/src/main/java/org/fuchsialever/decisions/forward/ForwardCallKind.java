package org.fuchsialever.decisions.forward;

/** What a call is for, which decides how it waits and how often it is tried. */
public enum ForwardCallKind {
    /** A caller waits for the answer. */
    LIVE {
        @Override
        double maxUtilization() {
            return 3.0;
        }

        @Override
        boolean waitsForSlot() {
            return false;
        }
    },
    /** Generates the text of a batch item; goes on at another upstream after a fault. */
    ITEM {
        @Override
        double maxUtilization() {
            return 1.0;
        }

        @Override
        double loadStep() {
            return 0;
        }

        @Override
        boolean waitsForSlot() {
            return true;
        }
    },
    /** Scores a generated text; one slot in six stays free for live calls. */
    SCORE {
        @Override
        double maxUtilization() {
            return 0.85;
        }

        @Override
        boolean waitsForSlot() {
            return true;
        }
    };

    /** Returns the load per slot above which an upstream gets no call of this kind. */
    abstract double maxUtilization();

    /** Returns the difference in load per slot that does not matter for this kind. */
    double loadStep() {
        return 0.5;
    }

    /** Returns whether a call is queued while no upstream has room; others are refused. */
    abstract boolean waitsForSlot();
}

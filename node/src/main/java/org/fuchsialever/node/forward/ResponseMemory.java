package org.fuchsialever.node.forward;

import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the bytes that all responses in progress hold together. When the bound is exceeded, the
 * response that holds most is given up, so that an upstream that sends without end harms the calls
 * to others least. Used in the event loop of the exchange client only.
 */
final class ResponseMemory {
    private final long mMaxBytes;
    private final Set<Account> mAccounts = new HashSet<>();
    private long mHeldBytes;

    /**
     * Creates an empty memory.
     *
     * @param maxBytes maximum number of bytes that all responses may hold
     */
    ResponseMemory(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the part of the memory that one response uses. */
    Account open(Runnable onGivenUp) {
        return new Account(onGivenUp);
    }

    private void giveUpLargest() {
        Account largest = null;
        for (Account account : mAccounts) {
            if (largest == null || account.mBytes > largest.mBytes) {
                largest = account;
            }
        }
        if (largest == null) {
            throw new IllegalStateException(mHeldBytes + " bytes are held by no response");
        }
        largest.close();
        largest.mOnGivenUp.run();
    }

    /** The bytes that one response holds. */
    final class Account {
        private final Runnable mOnGivenUp;
        private long mBytes;

        private Account(Runnable onGivenUp) {
            mOnGivenUp = onGivenUp;
        }

        /** Records the number of bytes held; may give up this response or others. */
        void hold(long bytes) {
            if (bytes == mBytes) {
                return;
            }
            mHeldBytes += bytes - mBytes;
            mBytes = bytes;
            if (bytes == 0) {
                mAccounts.remove(this);
            } else {
                mAccounts.add(this);
            }
            while (mHeldBytes > mMaxBytes) {
                giveUpLargest();
            }
        }

        /** Records that nothing is held any more. */
        void close() {
            hold(0);
        }
    }
}

package org.fuchsialever.cli.load;

import java.util.Locale;

/** Kinds of calls in a load. */
enum CallKind {
    /** A live call whose answer is streamed. */
    STREAMED {
        @Override
        String body(int number, int maxTokens) {
            return live(number, maxTokens, true);
        }

        @Override
        boolean isComplete(String end) {
            return end.endsWith("data: [DONE]\n\n");
        }
    },

    /** A live call with a whole answer. */
    WHOLE {
        @Override
        String body(int number, int maxTokens) {
            return live(number, maxTokens, false);
        }

        @Override
        boolean isComplete(String end) {
            return end.endsWith("}");
        }
    },

    /** A call of a plain service. */
    PLAIN {
        @Override
        String body(int number, int maxTokens) {
            return "{\"record\":%d}".formatted(number);
        }

        @Override
        boolean isComplete(String end) {
            return !end.isEmpty();
        }

        @Override
        String url(LoadTarget target) {
            return target.plainUrl();
        }
    };

    private static String live(int number, int maxTokens, boolean stream) {
        return ("{\"model\":\"small\",\"prompt\":\"@load-%d continue\","
                        + "\"max_tokens\":%d,\"stream\":%b}")
                .formatted(number, maxTokens, stream);
    }

    /** Returns the word used for this kind in options and output. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    abstract String body(int number, int maxTokens);

    /** Returns whether the end of an answer with status 200 shows that nothing is missing. */
    abstract boolean isComplete(String end);

    String url(LoadTarget target) {
        return target.liveUrl();
    }
}

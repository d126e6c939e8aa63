package org.fuchsialever.cli.load;

import com.beust.jcommander.ParameterException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/** The shares of the kinds of calls. */
final class CallMix {
    private final Map<CallKind, Integer> mWeights = new EnumMap<>(CallKind.class);
    private int mSum;

    private CallMix() {}

    /**
     * Parses a text such as {@code streamed=70,whole=20,plain=10}.
     *
     * @throws ParameterException if a kind is unknown, or if no weight is positive
     */
    static CallMix parse(String text) {
        CallMix mix = new CallMix();
        try {
            for (String part : text.split(",")) {
                String[] pair = part.trim().split("=", 2);
                CallKind kind = CallKind.valueOf(pair[0].trim().toUpperCase(Locale.ROOT));
                int weight = pair.length == 2 ? Integer.parseInt(pair[1].trim()) : 1;
                mix.mWeights.put(kind, weight);
                mix.mSum += weight;
                if (weight < 0) {
                    throw new IllegalArgumentException("negative weight");
                }
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    "\"%s\" is not a mix such as streamed=70,whole=20,plain=10".formatted(text), e);
        }
        if (mix.mSum == 0) {
            throw new ParameterException("the mix \"%s\" has no calls".formatted(text));
        }
        return mix;
    }

    CallKind pick(Random random) {
        int left = random.nextInt(mSum);
        CallKind picked = CallKind.STREAMED;
        for (Map.Entry<CallKind, Integer> entry : mWeights.entrySet()) {
            picked = entry.getKey();
            left -= entry.getValue();
            if (left < 0) {
                break;
            }
        }
        return picked;
    }
}

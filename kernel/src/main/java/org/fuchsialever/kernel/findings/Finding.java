package org.fuchsialever.kernel.findings;

/**
 * One problem in user input.
 *
 * @param messageKey stable ID of the kind of problem, such as {@code pool.unknown}
 * @param message what is wrong and which values are allowed
 */
public record Finding(Severity severity, Location location, String messageKey, String message) {

    @Override
    public String toString() {
        return location + ": " + severity.label() + ": " + message + " [" + messageKey + "]";
    }
}

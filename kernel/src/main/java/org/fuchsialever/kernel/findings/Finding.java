package org.fuchsialever.kernel.findings;

/**
 * One problem in user input.
 *
 * @param severity how serious it is
 * @param location where it is
 * @param messageKey stable identity of the kind of problem, such as {@code pool.unknown}
 * @param message what is wrong and what is allowed
 */
public record Finding(Severity severity, Location location, String messageKey, String message) {

    @Override
    public String toString() {
        return location + ": " + severity.label() + ": " + message + " [" + messageKey + "]";
    }
}

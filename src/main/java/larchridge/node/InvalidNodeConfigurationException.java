package larchridge.node;

import java.nio.file.Path;

/**
 * A configuration with which a node can't start; the message names file, member and what was
 * expected.
 */
public final class InvalidNodeConfigurationException extends NodeStartException {
    private static final long serialVersionUID = 1;

    private InvalidNodeConfigurationException(String problem) {
        super(problem);
    }

    /** A file that is no JSON object or can't be read at all. */
    static InvalidNodeConfigurationException unreadable(Path file, String problem) {
        return new InvalidNodeConfigurationException(file + ": " + problem);
    }

    /** A file that breaks the syntax of JSON at a line. */
    static InvalidNodeConfigurationException invalidJson(Path file, int line, String problem) {
        return new InvalidNodeConfigurationException(
                file + ":" + line + ": broken JSON (" + problem + ")");
    }

    /** A member with a wrong value, or none. */
    static InvalidNodeConfigurationException invalidMember(
            Path file, String member, Object found, String expected) {
        return new InvalidNodeConfigurationException(
                file + ": " + member + " is " + found + "; expected " + expected);
    }

    /** A fault within the settings object, which names its own members. */
    static InvalidNodeConfigurationException invalidSettings(Path file, String problem) {
        return new InvalidNodeConfigurationException(file + ": settings: " + problem);
    }

    /** An environment variable that is missing. */
    static InvalidNodeConfigurationException missingVariable(String variable, String expected) {
        return new InvalidNodeConfigurationException(
                variable + " is not set; expected " + expected);
    }

    /** An environment variable that differs from the file. */
    static InvalidNodeConfigurationException variableDiffers(
            String variable, String found, String configured) {
        return new InvalidNodeConfigurationException(
                variable + " is '" + found + "', but the configuration says '" + configured + "'");
    }
}

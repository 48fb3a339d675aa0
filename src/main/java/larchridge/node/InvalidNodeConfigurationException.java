package larchridge.node;

import java.nio.file.Path;

/**
 * Thrown if a node can't start with its configuration; the message names the file, the member and
 * the expected value.
 */
public final class InvalidNodeConfigurationException extends NodeStartException {
    private static final long serialVersionUID = 1;

    private InvalidNodeConfigurationException(String problem) {
        super(problem);
    }

    /** The file can't be read or is not a JSON object. */
    static InvalidNodeConfigurationException unreadable(Path file, String problem) {
        return new InvalidNodeConfigurationException(file + ": " + problem);
    }

    /** The file is not valid JSON. */
    static InvalidNodeConfigurationException invalidJson(Path file, int line, String problem) {
        return new InvalidNodeConfigurationException(
                file + ":" + line + ": invalid JSON (" + problem + ")");
    }

    /** A member is missing or has an invalid value. */
    static InvalidNodeConfigurationException invalidMember(
            Path file, String member, Object found, String expected) {
        return new InvalidNodeConfigurationException(
                file + ": " + member + " is " + found + "; expected " + expected);
    }

    /** The settings object is invalid; the problem names its member. */
    static InvalidNodeConfigurationException invalidSettings(Path file, String problem) {
        return new InvalidNodeConfigurationException(file + ": settings: " + problem);
    }

    /** An environment variable is missing. */
    static InvalidNodeConfigurationException missingVariable(String variable, String expected) {
        return new InvalidNodeConfigurationException(
                variable + " is not set; expected " + expected);
    }

    /** An environment variable contradicts the file. */
    static InvalidNodeConfigurationException variableDiffers(
            String variable, String found, String configured) {
        return new InvalidNodeConfigurationException(
                variable
                        + " is '"
                        + found
                        + "', but the configuration file has '"
                        + configured
                        + "'");
    }
}

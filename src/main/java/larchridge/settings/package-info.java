/**
 * The JSON settings of a deployment, as used in the bench protocol ({@code larchridge.benchlink})
 * and in a node's configuration.
 *
 * <p>{@link larchridge.settings.DeploymentSettingsReader} reads and checks the JSON and returns
 * immutable {@link larchridge.settings.DeploymentSettings}. Only this package reads the keys of the
 * object.
 */
package larchridge.settings;

/**
 * The JSON settings of a deployment, as used in the bench protocol ({@code larchridge.benchlink})
 * and in a node's configuration.
 *
 * <p>{@link larchridge.settings.DeploymentSettingsReader} reads and checks the JSON and returns
 * immutable {@link larchridge.settings.DeploymentSettings}. The keys of the object appear in this
 * package only.
 */
package larchridge.settings;

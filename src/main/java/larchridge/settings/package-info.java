/**
 * The settings object of a deployment, as it comes on the bench's wire and in a node's
 * configuration.
 *
 * <p>{@link larchridge.settings.DeploymentSettingsReader} reads and checks the JSON once and gives
 * {@link larchridge.settings.DeploymentSettings}, which does not change any more. The keys of the
 * object appear in this package only.
 */
package larchridge.settings;

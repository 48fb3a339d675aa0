/**
 * The site file (protobuf text format): parsed, validated and converted to settings.
 *
 * <p>{@link larchridge.site.SiteReader} is the entry; all errors are reported at once with file,
 * line and field.
 */
package larchridge.site;

/**
 * The site file (protobuf text format): read, checked and turned into settings.
 *
 * <p>{@link larchridge.site.SiteReader} is the entry; all faults are reported at once with file,
 * line and field.
 */
package larchridge.site;

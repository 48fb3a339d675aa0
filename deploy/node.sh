#!/bin/sh
# Starts one front node in the foreground; with the word "archive" writes the archive of classes that starts use, once.
# The Java machine's parts are cut to the memory that the configuration grants: heap, buffers, classes and code together
# stay under it, and the heap is touched at once, so that resident memory says from the start what it comes to.
# Built-in commands alone: the platform lets a node start no other program, so nothing here may fork.
jar=target/larchridge.jar
archive=target/node.jsa
machine="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -Xss256k -XX:-UsePerfData -Dio.netty.jfr.enabled=false -Djava.net.preferIPv4Stack=true"
if [ "$1" = archive ]; then
    exec java $machine -Xmx64m -XX:ArchiveClassesAtExit=$archive -Xlog:cds=off -Xlog:cds+dynamic=off -jar $jar node training-run
fi

# The number behind "memory_mb", whatever the order of members, the spaces and the lines; 192 where there is none. The text
# is split at commas and braces, since patterns over all of it take the time of a start where the list of engines is long.
text=
while read -r line || [ -n "$line" ]; do
    text="$text $line"
done < "$PROXY_CONFIG"
mb=
set -f
IFS=',{}'
for member in $text; do
    case $member in *'"memory_mb"'*:*[0-9]*)
        mb=${member#*:}
        mb=${mb#"${mb%%[0-9]*}"}
        mb=${mb%%[!0-9]*}
        break ;;
    esac
done
unset IFS
set +f
mb=${mb:-192}

shared=
[ -f $archive ] && shared="-XX:SharedArchiveFile=$archive"
exec java $machine $shared -Xms$((mb * 30 / 100))m -Xmx$((mb * 30 / 100))m -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=$((mb / 10))m \
    -jar $jar node

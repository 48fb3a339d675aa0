#!/bin/sh
# Starts one front node in the foreground; with the word "archive" writes the archive of classes that starts use, once.
# The Java machine's parts are cut to the memory that the configuration grants: heap, buffers, classes and code together
# stay under it, and the heap is touched at once, so that resident memory says from the start what it comes to.
jar=target/larchridge.jar
archive=target/node.jsa
machine="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -Xss256k -XX:-UsePerfData -Dio.netty.jfr.enabled=false"
if [ "$1" = archive ]; then
    exec java $machine -Xmx64m -XX:ArchiveClassesAtExit=$archive -Xlog:cds=off -Xlog:cds+dynamic=off -jar $jar node rehearse
fi
mb=$(tr -d ' \n' < "$PROXY_CONFIG" | sed -n 's/.*"memory_mb":\([0-9]*\).*/\1/p')
mb=${mb:-192}
shared=
[ -f $archive ] && shared="-XX:SharedArchiveFile=$archive"
exec java $machine $shared -Xms$((mb * 30 / 100))m -Xmx$((mb * 30 / 100))m -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=$((mb / 10))m \
    -jar $jar node

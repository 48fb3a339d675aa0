#!/bin/sh
# Starts one front node in the foreground. The Java machine's parts are cut to the memory that the configuration grants:
# heap, buffers, classes and code together stay under it.
mb=$(tr -d ' \n' < "$PROXY_CONFIG" | sed -n 's/.*"memory_mb":\([0-9]*\).*/\1/p')
mb=${mb:-192}
heap=$((mb * 35 / 100))
direct=$((mb * 10 / 100))
exec java -Xms${heap}m -Xmx${heap}m -XX:MaxDirectMemorySize=${direct}m -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=48m -Xss256k \
    -XX:-UsePerfData -Xshare:auto -Dio.netty.noUnsafe=false -jar target/larchridge.jar node

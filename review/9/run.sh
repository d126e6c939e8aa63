#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.."
exec timeout -k 2 117 java -Dsun.net.httpserver.nodelay=true \
    -cp 'target/review-2:target/fuchsialever-node/lib/*' ItemPaths review/9

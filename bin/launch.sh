#!/bin/sh
# launch.sh MODULE MAIN-CLASS ARGUMENTS...: builds the module if needed and starts its main class.
set -eu
module=$1
main_class=$2
shift 2
root=$(cd "$(dirname "$0")/.." && pwd)
jar="$root/target/fuchsialever-$module/fuchsialever-$module-0.1.0-SNAPSHOT.jar"
if [ ! -f "$jar" ] || [ ! -d "$root/target/fuchsialever-$module/lib" ]; then
    echo "building fuchsialever ($module)" >&2
    (cd "$root" && mvn -B -q -DskipTests package -pl "$module" -am >&2)
fi
exec java ${FUCHSIALEVER_JAVA_OPTIONS:-} -cp "$jar:$root/target/fuchsialever-$module/lib/*" "$main_class" "$@"

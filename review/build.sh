#!/bin/sh
# Builds the stand-ins of the scripts into target/review; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review -cp 'target/fuchsialever-node/lib/*' review/harness/review/*.java

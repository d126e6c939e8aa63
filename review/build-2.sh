#!/bin/bash
# Compiles the stand-ins and the cases of this review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -cp 'target/fuchsialever-node/lib/*' -d target/review-2 review/harness-2/*.java

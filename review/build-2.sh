#!/usr/bin/env bash
# Compiles the stand-ins and cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Werror -d target/review-2 review/standins-2/*.java

#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review. Needs the build of the deploy file before it: the
# stand-ins use the JSON library of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk
[ -x target/runtime/bin/java ] || {
  echo "review: target/runtime is missing; run bash bin/build-runtime first" >&2
  exit 2
}
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review -cp 'target/runtime/app/*' review/standins/*.java

#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/review. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all,-serial -d target/review review/harness/*.java
